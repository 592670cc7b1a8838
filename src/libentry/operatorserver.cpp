#include "operatorserver.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

namespace cowslippin {

namespace {

/// Connections that wait to be accepted hold unread bytes.
constexpr int fewConnectionsBacklog = 64;

AsyncHttpServer::Settings
serverSettings(std::size_t maxConnections,
               const std::shared_ptr<ConnectionBudget>& budget)
{
  AsyncHttpServer::Settings settings;
  settings.maxConnections = maxConnections;
  settings.socketBufferBytes = clientSocketBufferBytes;
  settings.backlog = fewConnectionsBacklog;
  settings.budget = budget;
  return settings;
}

} // namespace

OperatorServer::OperatorServer(boost::asio::io_context& context,
                               EntryCore& core,
                               EntryMetrics& metrics,
                               const ClientLimits& limits,
                               const std::shared_ptr<ConnectionBudget>& budget)
  : m_core(core)
  , m_metrics(metrics)
  , m_server(context,
             serverSettings(limits.maxOperators, budget),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpTransaction>& transaction) {
               serve(request, transaction);
             })
{
}

std::optional<Problem>
OperatorServer::listen(const Address& address)
{
  return m_server.listen(address);
}

void
OperatorServer::serve(const HttpRequest& request,
                      const std::shared_ptr<HttpTransaction>& transaction)
{
  if (request.path() == "/metrics") {
    HttpReply::Fields reply;
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = m_metrics.render(m_core);
    transaction->answer(HttpReply(reply));
  } else if (request.path() == "/state") {
    transaction->answer(HttpReply::json(200, writeJson(m_core.stateJson())));
  } else {
    transaction->answer(
      HttpReply::json(404, R"({"error":"/metrics and /state are here"})"));
  }
}

} // namespace cowslippin
