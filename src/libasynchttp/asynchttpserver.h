#pragma once

#include "httptransaction.h"

#include "libhttp/httprequest.h"

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>

namespace cowslippin {

/// An HTTP/1.1 server on one thread, for requests that wait long: a waiting
/// request costs its connection's buffers and no thread. Built on Boost.Beast.
class AsyncHttpServer
{
public:
  struct Settings
  {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t(256) * 1024;
    /// Connections that may wait to be accepted. Beyond it opening packets are
    /// dropped and come again after a second.
    int backlog = 512;
  };

  using Handler = std::function<void(const HttpRequest&,
                                     const std::shared_ptr<HttpTransaction>&)>;

  AsyncHttpServer(boost::asio::io_context& context,
                  Settings settings,
                  Handler handler);
  ~AsyncHttpServer();

  /// Listens and serves; a problem if the address can't be used.
  std::optional<Problem> listen(const Address& address);

  /// Every answer from now on tells the client to open a new connection.
  void closeAfterAnswers() { m_isClosing = true; }

  /// Accepts no more and closes the connections that wait for no answer.
  void stop();

  /// Requests that have been read and not been answered in full.
  std::size_t waiting() const { return m_waiting; }
  std::size_t connections() const;

private:
  class Session;

  void accept();

  const Settings m_settings;
  const Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::list<std::weak_ptr<Session>> m_sessions;
  std::size_t m_waiting = 0;
  bool m_isClosing = false;
  /// Sessions may outlive the server; they check this before they use it.
  std::shared_ptr<AsyncHttpServer*> m_self;
};

} // namespace cowslippin
