#include "platformconnection.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <stdexcept>
#include <utility>
#include <vector>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;

/// How long a connection may take to open.
constexpr Duration connectTimeout = std::chrono::seconds(1);

/// The selector waits by the wall clock, which may be set; the deadline is
/// looked at this often at least.
constexpr Duration longestWait = milliseconds(250);

/// A longer answer is not the platform's.
constexpr std::size_t maxReplyBytes = 67108864;

constexpr char zoneHeader[] = "Cowslippin-Zone";
constexpr char vmHeader[] = "Cowslippin-Vm";

cxxtools::Milliseconds
toCxxtools(Duration duration)
{
  const auto rounded = std::chrono::ceil<milliseconds>(duration);
  return cxxtools::Milliseconds(static_cast<double>(rounded.count()));
}

/// The local port of a connected socket, or 0.
std::uint16_t
localPort(int socket)
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (socket < 0 || getsockname(socket, generic, &size) != 0) {
    return 0;
  }
  return ntohs(address.ss_family == AF_INET6
                 ? reinterpret_cast<sockaddr_in6*>(&address)->sin6_port
                 : reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

/// Whether an idle connection has been closed by the other end.
bool
isClosedByPeer(int socket)
{
  pollfd waited{ socket, POLLIN | POLLRDHUP, 0 };
  return poll(&waited, 1, 0) != 0;
}

void
setHeader(cxxtools::http::Request& message,
          const char* name,
          const std::string& value)
{
  if (!value.empty()) {
    message.setHeader(name, value.c_str());
  }
}

Problem
unavailable(const std::string& detail, RunState ran)
{
  return Problem(ProblemKind::PlatformUnavailable, ran, detail);
}

PlatformCallResult
notSent(const std::string& detail)
{
  return tl::unexpected(
    PlatformCallFailure{ false, unavailable(detail, RunState::NotRun) });
}

PlatformCallResult
maybeSent(const std::string& detail)
{
  return tl::unexpected(
    PlatformCallFailure{ true, unavailable(detail, RunState::MayHaveRun) });
}

/// A selector that knows the client's socket, which the HTTP library keeps
/// to itself.
class SocketSelector : public cxxtools::Selector
{
public:
  /// To be called before a new client is made.
  void forgetConnection() { m_wasConnected = false; }

  /// Whether a connection has been open since then. Before that nothing can
  /// have been sent.
  bool wasConnected() const { return m_wasConnected || isConnected(); }

  /// The socket, connected or still connecting, or -1.
  int socket() const { return m_socket == nullptr ? -1 : m_socket->getFd(); }

  bool isConnected() const
  {
    return m_socket != nullptr && m_socket->isConnected();
  }

protected:
  void onAdd(cxxtools::Selectable& selectable) override
  {
    if (auto* added = dynamic_cast<cxxtools::net::TcpSocket*>(&selectable)) {
      m_socket = added;
      cxxtools::connect(added->connected, *this, &SocketSelector::onConnected);
    }
    Selector::onAdd(selectable);
  }

  void onRemove(cxxtools::Selectable& selectable) override
  {
    if (m_socket == &selectable) {
      m_socket = nullptr;
    }
    Selector::onRemove(selectable);
  }

private:
  void onConnected(cxxtools::net::TcpSocket&) { m_wasConnected = true; }

  cxxtools::net::TcpSocket* m_socket = nullptr;
  bool m_wasConnected = false;
};

} // namespace

/// Drives the HTTP library's client by its events, because only these allow
/// one deadline for the whole call and an end from another thread.
class PlatformConnection::Impl : public cxxtools::Connectable
{
public:
  Impl(Address platform, ClientIdentity identity)
    : m_platform(std::move(platform))
    , m_identity(std::move(identity))
  {
  }

  PlatformCallResult call(const PlatformRequest& request, Duration timeout)
  {
    if (m_isCancelled) {
      return notSent("the connection to the platform was shut down");
    }
    const TimePoint deadline = steadyNow() + timeout;
    try {
      keepOrReplaceClient();
      return exchange(request, deadline);
    } catch (const std::exception& error) {
      return failed(error);
    }
  }

  void cancel()
  {
    m_isCancelled = true;
    m_selector.wake();
  }

private:
  PlatformCallResult failed(const std::exception& error)
  {
    const bool isMaybeSent = m_selector.wasConnected();
    m_client.reset();
    return isMaybeSent
             ? maybeSent(std::string("no answer from the platform: ") +
                         error.what())
             : notSent(std::string("cannot connect to the platform: ") +
                       error.what());
  }

  /// Keeps the client if its connection is usable; if not, makes one that
  /// will open a new connection.
  void keepOrReplaceClient()
  {
    const bool isUsable = m_client && m_selector.isConnected() &&
                          !isClosedByPeer(m_selector.socket());
    if (isUsable) {
      return;
    }
    m_client.reset();
    m_selector.forgetConnection();
    m_client = std::make_unique<cxxtools::http::Client>(
      m_selector, m_platform.host(), m_platform.port());
    cxxtools::connect(m_client->bodyAvailable, *this, &Impl::onBody);
    cxxtools::connect(m_client->replyFinished, *this, &Impl::onFinished);
  }

  PlatformReply exchange(const PlatformRequest& request, TimePoint deadline)
  {
    m_body.clear();
    m_isFinished = false;
    m_isTooLong = false;
    // The client keeps a reference to it until the answer is there.
    cxxtools::http::Request message;
    fill(message, request);
    m_client->beginExecute(message);
    const std::uint16_t port = localPort(m_selector.socket());
    waitForReply(deadline, port);
    m_client->endExecute();
    return wholeReply(port);
  }

  void waitForReply(TimePoint deadline, std::uint16_t port)
  {
    const TimePoint connectDeadline =
      std::min(deadline, steadyNow() + connectTimeout);
    while (!m_isFinished) {
      requireSameConnection(port);
      waitForEvent(m_selector.wasConnected() ? deadline : connectDeadline);
    }
  }

  void waitForEvent(TimePoint deadline)
  {
    const Duration left = deadline - steadyNow();
    if (left <= Duration::zero()) {
      throw std::runtime_error("timed out");
    }
    m_selector.wait(toCxxtools(std::min(left, longestWait)));
    if (m_isCancelled) {
      throw std::runtime_error("cancelled");
    }
    if (m_isTooLong) {
      throw std::runtime_error("the answer is too long");
    }
  }

  /// The client is about to send the request again when it gives up the
  /// connection and opens another.
  void requireSameConnection(std::uint16_t port)
  {
    if (localPort(m_selector.socket()) != port) {
      throw std::runtime_error("the connection was closed");
    }
  }

  PlatformReply wholeReply(std::uint16_t port)
  {
    if (m_selector.isConnected()) {
      requireSameConnection(port);
    }
    PlatformReply reply;
    reply.status = static_cast<int>(m_client->header().httpReturnCode());
    reply.body = m_body;
    return reply;
  }

  void fill(cxxtools::http::Request& message,
            const PlatformRequest& request) const
  {
    message.method(request.method);
    message.url(request.path);
    message.qparams(request.query);
    message.body() << request.body;
    setHeader(message, zoneHeader, m_identity.zone.value());
    setHeader(message, vmHeader, m_identity.vm.value());
  }

  std::size_t onBody(cxxtools::http::Client& client)
  {
    std::streambuf* input = client.in().rdbuf();
    const std::streamsize available = input->in_avail();
    if (available <= 0) {
      return 0;
    }
    std::vector<char> bytes(static_cast<std::size_t>(available));
    const std::streamsize count = input->sgetn(bytes.data(), available);
    m_isTooLong = m_isTooLong || m_body.size() + bytes.size() > maxReplyBytes;
    if (!m_isTooLong) {
      m_body.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return static_cast<std::size_t>(count);
  }

  void onFinished(cxxtools::http::Client&) { m_isFinished = true; }

  Address m_platform;
  ClientIdentity m_identity;
  SocketSelector m_selector;
  std::unique_ptr<cxxtools::http::Client> m_client;
  std::string m_body;
  bool m_isFinished = false;
  bool m_isTooLong = false;
  std::atomic<bool> m_isCancelled{ false };
};

PlatformConnection::PlatformConnection(Address platform,
                                       ClientIdentity identity)
  : m_impl(std::make_unique<Impl>(std::move(platform), std::move(identity)))
{
}

PlatformConnection::~PlatformConnection() = default;

PlatformCallResult
PlatformConnection::call(const PlatformRequest& request, Duration timeout)
{
  return m_impl->call(request, timeout);
}

void
PlatformConnection::cancel()
{
  m_impl->cancel();
}

} // namespace cowslippin
