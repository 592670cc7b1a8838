#pragma once

#include "clientlimits.h"
#include "entrycore.h"
#include "entrymetrics.h"

#include "libasynchttp/asynchttp.h"

namespace cowslippin {

/// An HTTP server for operators: `/metrics` in the text format of Prometheus,
/// and `/state`, the state of all components as JSON.
class OperatorServer
{
public:
  OperatorServer(boost::asio::io_context& context,
                 EntryCore& core,
                 EntryMetrics& metrics,
                 const ClientLimits& limits,
                 const std::shared_ptr<ConnectionBudget>& budget);

  std::optional<Problem> listen(const Address& address);
  void stop() { m_server.stop(); }

private:
  void serve(const HttpRequest& request,
             const std::shared_ptr<HttpTransaction>& transaction);

  EntryCore& m_core;
  EntryMetrics& m_metrics;
  AsyncHttpServer m_server;
};

} // namespace cowslippin
