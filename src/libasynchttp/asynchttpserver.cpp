#include "asynchttpserver.h"

#include "asynchttpsession.h"

#include "libobserve/observe.h"

#include <utility>

namespace cowslippin {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr std::size_t defaultBudgetBytes = std::size_t(64) << 20;
constexpr Duration slowClientInterval = std::chrono::seconds(1);
constexpr Duration closedLogInterval = std::chrono::seconds(1);
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

constexpr const char* closedForConnections = "connections";
constexpr const char* closedAsLate = "late";

AsyncHttpServer::Settings
withBudget(AsyncHttpServer::Settings settings)
{
  if (!settings.budget)
    settings.budget = std::make_shared<ConnectionBudget>(defaultBudgetBytes);
  return settings;
}

} // namespace

AsyncHttpServer::AsyncHttpServer(net::io_context& context,
                                 Settings settings,
                                 Handler handler)
  : m_settings(withBudget(std::move(settings)))
  , m_handler(std::move(handler))
  , m_acceptor(context)
  , m_acceptTimer(context)
  , m_slowClientTimer(context)
  , m_self(std::make_shared<AsyncHttpServer*>(this))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
  m_self.reset();
}

std::optional<Problem>
AsyncHttpServer::listen(const Address& address)
{
  error_code error;
  const auto host = net::ip::make_address(address.host(), error);
  const tcp::endpoint endpoint(host, address.port());
  const auto ifNoError = [&](auto step) {
    if (!error)
      step();
  };
  ifNoError([&] { m_acceptor.open(endpoint.protocol(), error); });
  ifNoError(
    [&] { m_acceptor.set_option(tcp::acceptor::reuse_address(true), error); });
  setBufferSizes();
  ifNoError([&] { m_acceptor.bind(endpoint, error); });
  ifNoError([&] { m_acceptor.listen(m_settings.backlog, error); });
  if (error)
    return Problem::invalidField("listening address",
                                 address.toString(),
                                 "an address of this VM to listen on (" +
                                   error.message() + ")");
  accept();
  return std::nullopt;
}

/// Connections inherit the sizes. If the system refuses them, its own apply.
void
AsyncHttpServer::setBufferSizes()
{
  if (m_settings.socketBufferBytes == 0)
    return;
  error_code ignored;
  m_acceptor.set_option(
    net::socket_base::receive_buffer_size(m_settings.socketBufferBytes),
    ignored);
  m_acceptor.set_option(
    net::socket_base::send_buffer_size(m_settings.socketBufferBytes), ignored);
}

void
AsyncHttpServer::stop()
{
  error_code ignored;
  m_acceptor.close(ignored);
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock())
      session->closeIfIdle();
  }
}

void
AsyncHttpServer::accept()
{
  m_acceptor.async_accept([this, alive = std::weak_ptr(m_self)](
                            error_code error, tcp::socket socket) {
    if (alive.expired() || error == net::error::operation_aborted)
      return;
    if (!error) {
      addSession(std::move(socket));
      if (m_acceptor.is_open())
        accept();
      return;
    }
    logEvent(
      LogLevel::Warning, "accept-failed", { { "reason", error.message() } });
    acceptLater();
  });
}

void
AsyncHttpServer::addSession(tcp::socket socket)
{
  m_sessions.remove_if([](const auto& weak) { return weak.expired(); });
  if (!makeRoom())
    return;
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<Session>(
    std::move(socket), m_settings.budget, std::weak_ptr(m_self));
  m_sessions.push_back(session);
  session->readRequest();
}

bool
AsyncHttpServer::makeRoom()
{
  if (m_connections < m_settings.maxConnections)
    return true;
  const TimePoint now = steadyNow();
  std::shared_ptr<Session> first;
  for (const auto& weak : m_sessions) {
    auto session = weak.lock();
    if (session && session->isWaitingForClient() &&
        (!first || session->closesBefore(*first, now)))
      first = std::move(session);
  }
  noteClosed(closedForConnections);
  if (!first)
    return false;
  first->close();
  return true;
}

void
AsyncHttpServer::watchSlowClients()
{
  if (std::exchange(m_isWatchingSlowClients, true))
    return;
  m_slowClientTimer.expires_after(slowClientInterval);
  m_slowClientTimer.async_wait(
    [this, alive = std::weak_ptr(m_self)](error_code error) {
      if (error || alive.expired())
        return;
      m_isWatchingSlowClients = false;
      closeLateSessions();
    });
}

void
AsyncHttpServer::closeLateSessions()
{
  const TimePoint now = steadyNow();
  for (const auto& weak : m_sessions) {
    const auto session = weak.lock();
    if (session && session->isLate(now)) {
      session->close();
      noteClosed(closedAsLate);
    } else if (session && session->isWaitingForRest())
      watchSlowClients();
  }
}

void
AsyncHttpServer::noteClosed(const std::string& reason)
{
  ++m_closed[reason];
  const TimePoint now = steadyNow();
  if (now < m_nextClosedLogAt)
    return;
  m_nextClosedLogAt = now + closedLogInterval;
  for (const auto& [why, count] : std::exchange(m_closed, {}))
    logEvent(LogLevel::Info,
             "client-connections-closed",
             { { "reason", why },
               { "count", count },
               { "open", m_connections },
               { "heldBytes", m_settings.budget->heldBytes() } });
}

/// Without the delay, accepting would fail again at once, and without end,
/// while the process has no descriptors left.
void
AsyncHttpServer::acceptLater()
{
  m_acceptTimer.expires_after(acceptRetryDelay);
  m_acceptTimer.async_wait(
    [this, alive = std::weak_ptr(m_self)](error_code error) {
      if (!error && !alive.expired() && m_acceptor.is_open())
        accept();
    });
}

} // namespace cowslippin
