#pragma once

#include "httpreply.h"
#include "httprequest.h"

#include "libcore/core.h"

#include <functional>
#include <memory>

namespace cowslippin {

/// An HTTP server that runs a handler, which may block, on a thread for each
/// request. Connections are kept alive between requests. The header of a
/// request may have 4096 bytes; a connection that sends more is closed. Bodies
/// need a `Content-Length`; chunked ones are refused as malformed.
class HttpServer
{
public:
  struct Settings
  {
    /// Port 0 stands for one that the kernel chooses.
    Address listen = Address("127.0.0.1", 0);
    /// Threads kept when there is nothing to do. cxxtools starts further ones
    /// slowly, so that a burst of more requests than this waits for them.
    unsigned minThreads = 300;
    /// Threads, and so requests, at once; further requests wait.
    unsigned maxThreads = 700;
    /// A longer body is answered with a `body-too-large` problem and not kept.
    std::size_t maxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
    /// Connections that the kernel completes before they are accepted. The
    /// kernel caps this at net.core.somaxconn.
    int backlog = 4096;
    /// How long a started request may take to arrive.
    Duration readTimeout = std::chrono::seconds(20);
    /// How long a connection without a request is kept.
    Duration keepAliveTimeout = std::chrono::seconds(60);
    /// How long `stop` waits for requests whose handlers still run.
    Duration stopGrace = std::chrono::seconds(30);
    /// Told what a handler threw.
    std::function<void(const std::string& what)> handlerThrew = {};
  };

  using Handler = std::function<HttpReply(const HttpRequest&)>;

  /// Listens and serves at once. Throws std::runtime_error if the address
  /// cannot be listened on. `handler` is called from many threads; if it
  /// throws, the reply is a problem with status 500.
  HttpServer(Settings settings, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Where it listens, with the port that the kernel chose.
  const Address& address() const;

  /// How many requests are with the handler now.
  std::size_t requestsInFlight() const;

  /// Stops accepting, sends the replies of requests that have reached the
  /// handler, and closes. After `stopGrace` it returns although handlers still
  /// run; these end in the background and must outlive nothing they use.
  void stop();

private:
  class Core;

  std::shared_ptr<Core> m_core;
};

} // namespace cowslippin
