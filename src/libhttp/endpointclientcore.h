#pragma once

#include "connectionpool.h"
#include "endpointclient.h"
#include "endpointexchange.h"
#include "endpointprobe.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace cowslippin {

/// The I/O threads of an `EndpointClient`, its connections, and the calls and
/// health checks under way.
class EndpointClient::Core
{
public:
  explicit Core(Settings settings);

  CallId call(const EndpointCall& call, Done done);
  void cancel(CallId id);
  std::size_t callsInFlight() const;
  void stop();

private:
  /// Counts a call, or tells that the client is stopping.
  std::optional<CallId> begin();
  void startExchange(CallId id,
                     const EndpointCall& call,
                     std::shared_ptr<Connection> connection,
                     Done done);
  void endAtOnce(NotSentReason reason, const std::string& detail, Done done);
  void ended(CallId id,
             const std::shared_ptr<Connection>& connection,
             bool isConnectionReusable);
  void finished();

  void probe(const Endpoint& endpoint, EndpointProbe::Done done);
  void startProbe(const Endpoint& endpoint);
  void probed(const Address& address, ProbeResult result);

  void closeOldConnections();
  EndpointExchange::Settings exchangeSettings() const;

  const Settings m_settings;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_workGuard;
  boost::asio::steady_timer m_closeTimer;
  ConnectionPool m_pool;
  std::vector<std::thread> m_threads;

  mutable std::mutex m_mutex;
  std::condition_variable m_allFinished;
  bool m_isStopping = false;
  CallId m_lastId = 0;
  /// Calls whose `Done` has not returned.
  std::size_t m_unfinished = 0;
  std::unordered_map<CallId, std::shared_ptr<EndpointExchange>> m_exchanges;
  /// Who waits for the health check of an endpoint that is under way.
  std::map<Address, std::vector<EndpointProbe::Done>> m_probes;
};

} // namespace cowslippin
