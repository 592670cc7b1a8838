#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace review {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using error_code = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline std::int64_t
steadyMs()
{
  return std::chrono::duration_cast<ms>(Clock::now().time_since_epoch())
    .count();
}

/// Calls a function later, from the event loop.
inline void
after(net::io_context& context, ms delay, std::function<void()> function)
{
  auto timer = std::make_shared<net::steady_timer>(context, delay);
  timer->async_wait([timer, function](error_code error) {
    if (!error)
      function();
  });
}

using Request = http::request<http::string_body>;
/// Answers a request. A request that is never answered leaves its caller
/// waiting.
using Respond = std::function<
  void(int status, const std::string& body, const std::string& type)>;
using Handler = std::function<void(const Request&, const Respond&)>;

/// A small HTTP/1.1 server. `close` ends all its connections and its port, as
/// when its process is killed; `open` begins anew.
class Server
{
public:
  Server(net::io_context& context, tcp::endpoint endpoint, Handler handler)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_handler(std::move(handler))
  {
    open();
  }

  void open()
  {
    m_acceptor = std::make_shared<tcp::acceptor>(m_context);
    m_acceptor->open(m_endpoint.protocol());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->bind(m_endpoint);
    m_acceptor->listen(256);
    accept(m_acceptor);
  }

  void close()
  {
    error_code ignored;
    m_acceptor->close(ignored);
    for (const auto& session : m_sessions) {
      session->isClosed = true;
      session->stream.socket().set_option(net::socket_base::linger(true, 0),
                                          ignored);
      session->stream.socket().close(ignored);
    }
    m_sessions.clear();
  }

  /// Resets all connections; the port stays open.
  void reset()
  {
    error_code ignored;
    for (const auto& session : m_sessions) {
      session->isClosed = true;
      session->stream.socket().set_option(net::socket_base::linger(true, 0),
                                          ignored);
      session->stream.socket().close(ignored);
    }
    m_sessions.clear();
  }

private:
  struct Session
  {
    explicit Session(tcp::socket socket)
      : stream(std::move(socket))
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    bool isClosed = false;
  };

  void accept(const std::shared_ptr<tcp::acceptor>& acceptor)
  {
    acceptor->async_accept(
      [this, acceptor](error_code error, tcp::socket socket) {
        if (error)
          return;
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto session = std::make_shared<Session>(std::move(socket));
        m_sessions.insert(session);
        read(session);
        accept(acceptor);
      });
  }

  void read(const std::shared_ptr<Session>& session)
  {
    session->parser.emplace();
    session->parser->body_limit(8 << 20);
    http::async_read(
      session->stream,
      session->buffer,
      *session->parser,
      [this, session](error_code error, std::size_t) {
        if (error || session->isClosed) {
          end(session);
          return;
        }
        auto isAnswered = std::make_shared<bool>(false);
        m_handler(session->parser->get(),
                  [this, session, isAnswered](int status,
                                              const std::string& body,
                                              const std::string& type) {
                    if (std::exchange(*isAnswered, true) || session->isClosed)
                      return;
                    write(session, status, body, type);
                  });
      });
  }

  void write(const std::shared_ptr<Session>& session,
             int status,
             const std::string& body,
             const std::string& type)
  {
    session->response = {};
    session->response.version(11);
    session->response.result(static_cast<unsigned>(status));
    session->response.set(http::field::content_type, type);
    session->response.body() = body;
    session->response.keep_alive(true);
    session->response.prepare_payload();
    http::async_write(session->stream,
                      session->response,
                      [this, session](error_code error, std::size_t) {
                        if (error || session->isClosed)
                          end(session);
                        else
                          read(session);
                      });
  }

  void end(const std::shared_ptr<Session>& session)
  {
    session->isClosed = true;
    error_code ignored;
    session->stream.socket().close(ignored);
    m_sessions.erase(session);
  }

  net::io_context& m_context;
  const tcp::endpoint m_endpoint;
  const Handler m_handler;
  std::shared_ptr<tcp::acceptor> m_acceptor;
  std::set<std::shared_ptr<Session>> m_sessions;
};

/// One request on a connection of its own.
class Call : public std::enable_shared_from_this<Call>
{
public:
  /// The status, or 0 if the connection broke, or -1 if the time was over.
  using Done = std::function<void(int status, const std::string& body)>;

  static std::shared_ptr<Call> send(net::io_context& context,
                                    const tcp::endpoint& server,
                                    Request request,
                                    ms timeout,
                                    Done done)
  {
    auto call = std::make_shared<Call>(context);
    call->m_request = std::move(request);
    call->m_request.prepare_payload();
    call->m_done = std::move(done);
    call->m_stream.expires_after(timeout);
    call->m_stream.async_connect(server, [call](error_code error) {
      if (error)
        call->failed(error);
      else
        call->write();
    });
    return call;
  }

  explicit Call(net::io_context& context)
    : m_stream(context)
  {
  }

  /// The caller leaves.
  void cancel()
  {
    m_done = nullptr;
    error_code ignored;
    m_stream.socket().close(ignored);
  }

private:
  void write()
  {
    http::async_write(m_stream,
                      m_request,
                      [self = shared_from_this()](error_code error, auto) {
                        if (error)
                          self->failed(error);
                        else
                          self->read();
                      });
  }

  void read()
  {
    http::async_read(m_stream,
                     m_buffer,
                     m_response,
                     [self = shared_from_this()](error_code error, auto) {
                       if (error)
                         self->failed(error);
                       else
                         self->end(int(self->m_response.result_int()),
                                   self->m_response.body());
                     });
  }

  void failed(error_code error)
  {
    end(error == boost::beast::error::timeout ? -1 : 0, "");
  }

  void end(int status, const std::string& body)
  {
    error_code ignored;
    m_stream.socket().close(ignored);
    if (const auto done = std::exchange(m_done, nullptr))
      done(status, body);
  }

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  Request m_request;
  http::response<http::string_body> m_response;
  Done m_done;
};

} // namespace review
