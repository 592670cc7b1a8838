#include "soak.h"

#include <sys/wait.h>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

constexpr Duration foreignCallTimeout = std::chrono::seconds(2);
constexpr Duration handshakeTimeout = std::chrono::seconds(1);
constexpr std::size_t maxBytes = std::size_t(1) << 20;

} // namespace

void
Soak::setUpForeign()
{
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [](LinkId) {};
  hooks.closed = [](LinkId, LinkEnd) {};
  // A daemon sends its first message as soon as the connection is open.
  hooks.received = [this](LinkId link, const std::string&) {
    const std::string bytes = m_foreign.peerMessage();
    m_foreignPeer->send(link, { bytes.begin(), bytes.end() });
  };
  m_foreignPeer = std::make_unique<WebSocketTransport>(
    m_context,
    WebSocketTransport::Settings{ maxBytes, 8 * maxBytes, handshakeTimeout },
    hooks);
}

/// Another writer, caller or daemon sends bytes that no daemon expects.
void
Soak::tickForeign(TimePoint now)
{
  const auto calls = m_foreignCalls;
  for (const auto& call : calls)
    call->expire(now);
  m_foreignCalls.remove_if([](const auto& call) { return !call->isBusy(); });
  if (!m_settings.strikesForeign || !m_isStruck || now < m_nextForeignAt)
    return;
  m_nextForeignAt = now + milliseconds(20 + below(150, m_foreignRandom));
  const Daemon& daemon = m_daemons[below(m_daemons.size(), m_foreignRandom)];
  switch (below(3, m_foreignRandom)) {
    case 0: {
      const auto record = m_foreign.record();
      m_platform.putForeign(record.topic, record.key, record.value);
      break;
    }
    case 1:
      m_foreignPeer->dial(daemon.peers->address());
      break;
    default:
      callForeign(daemon);
  }
}

void
Soak::callForeign(const Daemon& daemon)
{
  HttpCallRequest order;
  order.method = "POST";
  order.target = "/jobs/" + m_foreign.jobId();
  order.body = m_foreign.jobBody();
  m_foreignCalls.push_back(std::make_shared<AsyncHttpConnection>(
    m_context, daemon.callers->address(), "jobs.example"));
  m_foreignCalls.back()->call(
    order, steadyNow() + foreignCallTimeout, [](const HttpCallResult&) {});
}

/// A process that no signal was sent to must not end.
void
Soak::checkProcesses()
{
  for (Daemon& daemon : m_daemons) {
    if (!daemon.process || daemon.killAt != TimePoint{} || daemon.hasEnded)
      continue;
    siginfo_t info{};
    waitid(P_PID,
           static_cast<id_t>(daemon.process->pid()),
           &info,
           WEXITED | WNOHANG | WNOWAIT);
    if (info.si_pid == 0)
      continue;
    daemon.hasEnded = true;
    m_report.violations.push_back("the process of " + daemon.host +
                                  " has ended by itself, status " +
                                  std::to_string(info.si_status));
  }
}

} // namespace cowslippin::testing
