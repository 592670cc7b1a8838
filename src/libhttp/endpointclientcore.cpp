#include "endpointclientcore.h"

#include "libobserve/observe.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr Duration minCloseInterval = std::chrono::milliseconds(1);

constexpr char firstPrintable = ' ';

bool
isSendable(const std::string& text)
{
  return std::none_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < firstPrintable;
  });
}

bool
isSendable(const EndpointCall& call)
{
  const bool isPathGood = !call.path().empty() && isSendable(call.path()) &&
                          call.path().find(' ') == std::string::npos;
  const bool areHeadersGood = std::all_of(
    call.headers().begin(), call.headers().end(), [](const HttpHeader& header) {
      return isSendable(header.name()) && isSendable(header.value());
    });
  return isPathGood && isSendable(call.contentType()) && areHeadersGood;
}

CallEnd
notSent(NotSentReason reason, const std::string& detail)
{
  CallEnd::Fields fields;
  fields.outcome = CallOutcome::NotSent;
  fields.notSentReason = reason;
  fields.detail = detail;
  return CallEnd(std::move(fields));
}

} // namespace

EndpointClient::Core::Core(Settings settings)
  : m_settings(settings)
  , m_workGuard(m_context.get_executor())
  , m_closeTimer(m_context)
  , m_pool(m_context, settings.maxIdleAge)
{
  closeOldConnections();
  for (unsigned i = 0; i < m_settings.ioThreads; ++i) {
    m_threads.emplace_back([this] { runEventLoop(m_context); });
  }
}

CallId
EndpointClient::Core::call(const EndpointCall& call, Done done)
{
  const auto id = begin();
  if (!id) {
    done(notSent(NotSentReason::Cancelled, "the client is stopped"));
    return 0;
  }
  if (!isSendable(call)) {
    endAtOnce(NotSentReason::InvalidCall,
              "the path or a header has characters that are not allowed",
              std::move(done));
    return *id;
  }
  const Endpoint& endpoint = call.endpoint();
  auto connection = m_pool.acquire(endpoint.address(), endpoint.connections());
  if (!connection) {
    endAtOnce(NotSentReason::NoConnection,
              "every connection of the endpoint is in use",
              std::move(done));
    return *id;
  }
  startExchange(*id, call, std::move(connection), std::move(done));
  return *id;
}

std::optional<CallId>
EndpointClient::Core::begin()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_isStopping) {
    return std::nullopt;
  }
  ++m_unfinished;
  return ++m_lastId;
}

void
EndpointClient::Core::startExchange(CallId id,
                                    const EndpointCall& call,
                                    std::shared_ptr<Connection> connection,
                                    Done done)
{
  EndpointExchange::Hooks hooks;
  hooks.probe = [this](const Endpoint& endpoint, EndpointProbe::Done told) {
    probe(endpoint, std::move(told));
  };
  hooks.ended = [this, id, connection](bool isConnectionReusable) {
    ended(id, connection, isConnectionReusable);
  };
  hooks.done = [this, done = std::move(done)](const CallEnd& end) {
    done(end);
    finished();
  };
  const auto exchange = std::make_shared<EndpointExchange>(
    call, std::move(connection), exchangeSettings(), std::move(hooks));
  bool isStopping = false;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_exchanges.emplace(id, exchange);
    isStopping = m_isStopping;
  }
  if (isStopping) {
    exchange->cancel();
  }
  exchange->start(steadyNow());
}

void
EndpointClient::Core::endAtOnce(NotSentReason reason,
                                const std::string& detail,
                                Done done)
{
  boost::asio::post(m_context, [this, reason, detail, done = std::move(done)] {
    done(notSent(reason, detail));
    finished();
  });
}

void
EndpointClient::Core::ended(CallId id,
                            const std::shared_ptr<Connection>& connection,
                            bool isConnectionReusable)
{
  if (isConnectionReusable) {
    m_pool.release(connection);
  } else {
    m_pool.discard(*connection);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_exchanges.erase(id);
}

void
EndpointClient::Core::finished()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (--m_unfinished == 0) {
    m_allFinished.notify_all();
  }
}

void
EndpointClient::Core::cancel(CallId id)
{
  std::shared_ptr<EndpointExchange> exchange;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
      return;
    }
    exchange = found->second;
  }
  exchange->cancel();
}

std::size_t
EndpointClient::Core::callsInFlight() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_unfinished;
}

void
EndpointClient::Core::stop()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_isStopping) {
    return;
  }
  m_isStopping = true;
  for (const auto& [id, exchange] : m_exchanges) {
    exchange->cancel();
  }
  m_allFinished.wait(lock, [this] { return m_unfinished == 0; });
  lock.unlock();
  m_context.stop();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void
EndpointClient::Core::probe(const Endpoint& endpoint, EndpointProbe::Done done)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto& waiting = m_probes[endpoint.address()];
    waiting.push_back(std::move(done));
    if (waiting.size() > 1) {
      return;
    }
  }
  startProbe(endpoint);
}

void
EndpointClient::Core::startProbe(const Endpoint& endpoint)
{
  const Address& address = endpoint.address();
  const auto connection = m_pool.acquireNew(address, endpoint.connections());
  if (!connection) {
    probed(address, ProbeResult::NotTried);
    return;
  }
  const auto done = [this, connection](ProbeResult result) {
    m_pool.discard(*connection);
    probed(connection->address(), result);
  };
  std::make_shared<EndpointProbe>(connection, done)
    ->start(exchangeSettings().silenceLimits, m_settings.probeTimeout);
}

void
EndpointClient::Core::probed(const Address& address, ProbeResult result)
{
  std::vector<EndpointProbe::Done> waiting;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_probes.find(address);
    waiting = std::move(found->second);
    m_probes.erase(found);
  }
  for (const EndpointProbe::Done& done : waiting) {
    done(result);
  }
}

void
EndpointClient::Core::closeOldConnections()
{
  m_pool.closeOld();
  m_closeTimer.expires_after(std::max(m_settings.maxIdleAge, minCloseInterval));
  m_closeTimer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      closeOldConnections();
    }
  });
}

EndpointExchange::Settings
EndpointClient::Core::exchangeSettings() const
{
  return { m_settings.maxAnswerBytes,
           m_settings.connectTimeout,
           m_settings.silenceProbeAfter,
           { m_settings.unacknowledgedLimit,
             m_settings.keepAliveIdle,
             m_settings.keepAliveInterval } };
}

} // namespace cowslippin
