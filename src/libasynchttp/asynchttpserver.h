#pragma once

#include "connectionbudget.h"
#include "httptransaction.h"

#include "libhttp/httprequest.h"

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace cowslippin {

/// An HTTP/1.1 server on one thread, for requests that take long: a pending
/// request costs the buffers of its connection and no thread. Built on
/// Boost.Beast.
class AsyncHttpServer
{
public:
  struct Settings
  {
    /// Of a request's header, of the line before a chunk of its body, and of
    /// its trailers.
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /// Of header and trailers. A field takes memory beside its bytes.
    std::size_t maxHeaderFields = 100;
    std::uint64_t maxBodyBytes = std::uint64_t(256) * 1024;
    /// How many connections may wait to be accepted. Beyond that the kernel
    /// drops SYN packets, which the client repeats after a second.
    int backlog = 512;
    /// How many connections may be open. For a further one, one that waits for
    /// its client is closed.
    std::size_t maxConnections = 4096;
    /// Of the system's buffers of each connection, for what it has received and
    /// for what it has to send. 0 for the system's own sizes.
    int socketBufferBytes = 0;
    /// How long a request's header may take, from its first bytes on, and an
    /// answer until the client has read it.
    Duration clientTimeout = std::chrono::seconds(30);
    /// How long a whole request may take, from its first bytes on, by its
    /// header. The body isn't given. If empty, `clientTimeout`.
    std::function<Duration(const HttpRequest&)> requestTimeout = nullptr;
    /// What all connections may hold, of this server and of those that share
    /// it. If empty, the server has one of its own, of 64 MB.
    std::shared_ptr<ConnectionBudget> budget = nullptr;
  };

  using Handler = std::function<void(const HttpRequest&,
                                     const std::shared_ptr<HttpTransaction>&)>;

  AsyncHttpServer(boost::asio::io_context& context,
                  Settings settings,
                  Handler handler);
  ~AsyncHttpServer();

  /// Begins to accept connections. A problem if the address can't be used.
  std::optional<Problem> listen(const Address& address);

  /// From now on each reply closes its connection, so that the client opens a
  /// new one.
  void closeConnectionsAfterReplies() { m_closesAfterReplies = true; }

  /// Accepts no more connections and closes those without a pending request.
  void stop();

  /// The number of requests that were read and whose reply isn't fully written.
  std::size_t pendingRequests() const { return m_pendingRequests; }
  /// The number of open connections.
  std::size_t connectionCount() const { return m_connections; }

private:
  class Session;

  void setBufferSizes();
  void accept();
  void addSession(boost::asio::ip::tcp::socket socket);
  /// Closes a session if there are as many as allowed. Returns false if there
  /// is none that may be closed.
  bool makeRoom();
  /// Closes the sessions whose clients are late, as long as there are any that
  /// wait for a request's rest or for an answer to be read.
  void watchSlowClients();
  void closeLateSessions();
  /// Counts a connection that was closed for a limit, and logs the counts, at
  /// most once a second.
  void noteClosed(const std::string& reason);
  void acceptLater();

  const Settings m_settings;
  const Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer;
  boost::asio::steady_timer m_slowClientTimer;
  bool m_isWatchingSlowClients = false;
  /// By reason, since the last line in the log.
  std::map<std::string, std::size_t> m_closed;
  TimePoint m_nextClosedLogAt{};
  std::list<std::weak_ptr<Session>> m_sessions;
  std::size_t m_connections = 0;
  std::size_t m_pendingRequests = 0;
  bool m_closesAfterReplies = false;
  /// Sessions may outlive the server. They hold a weak pointer to this and
  /// check it before each use of the server.
  std::shared_ptr<AsyncHttpServer*> m_self;
};

} // namespace cowslippin
