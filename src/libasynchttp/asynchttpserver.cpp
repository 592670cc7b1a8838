#include "asynchttpserver.h"

#include "libobserve/observe.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace cowslippin {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

/// Most requests with their bodies are smaller; the buffer grows for others.
constexpr std::size_t initialBufferBytes = 1024;
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

HttpRequest
toHttpRequest(http::request<http::string_body>& message)
{
  HttpRequest::Fields fields;
  fields.method = std::string(message.method_string());
  const std::string target(message.target());
  const std::size_t queryStart = target.find('?');
  fields.path = target.substr(0, queryStart);
  if (queryStart != std::string::npos)
    fields.query = target.substr(queryStart + 1);
  for (const auto& field : message)
    fields.headers.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
  fields.body = std::move(message.body());
  return HttpRequest(std::move(fields));
}

/// Doesn't say whether the request has had an effect, which isn't known.
HttpReply
handlerFailedReply()
{
  constexpr int internalServerError = 500;
  return HttpReply::json(
    internalServerError,
    R"({"error":"the daemon failed while it handled the request"})");
}

} // namespace

/// A client's connection, and its pending request if there is one.
class AsyncHttpServer::Session
  : public HttpTransaction
  , public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket socket, std::weak_ptr<AsyncHttpServer*> server)
    : m_socket(std::move(socket))
    , m_server(std::move(server))
    , m_idleSince(steadyNow())
  {
    m_buffer.reserve(initialBufferBytes);
  }

  ~Session() override { setPending(false); }

  void readRequest()
  {
    const auto server = m_server.lock();
    if (!server)
      return;
    m_parser.emplace();
    m_parser->header_limit((*server)->m_settings.maxHeaderBytes);
    m_parser->body_limit((*server)->m_settings.maxBodyBytes);
    http::async_read(
      m_socket,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](error_code error, std::size_t) {
        self->requestRead(error);
      });
  }

  void answer(const HttpReply& reply) override
  {
    if (!m_isPending || m_isAnswered)
      return;
    m_isAnswered = true;
    m_onClientDisconnected = nullptr;
    const auto server = m_server.lock();
    const bool replyCloses = reply.header("Connection") == "close";
    const bool isLast =
      replyCloses || !m_keepAlive || !server || (*server)->m_closesAfterReplies;
    m_output = render(reply, isLast && !replyCloses);
    error_code ignored;
    if (m_isWatchingForDisconnect)
      m_socket.cancel(ignored);
    net::async_write(
      m_socket,
      net::buffer(m_output),
      [self = shared_from_this(), isLast](error_code error, std::size_t) {
        self->replyWritten(error, isLast);
      });
  }

  Duration maxRequestAge() const override { return m_requestAge; }

  void onClientDisconnected(std::function<void()> callback) override
  {
    m_onClientDisconnected = std::move(callback);
  }

  void closeIfIdle()
  {
    if (!m_isPending)
      close();
  }

private:
  void refuseTooLarge()
  {
    setPending(true);
    m_keepAlive = false;
    answer(HttpReply::json(413, "{\"error\":\"the request is too large\"}"));
  }

  void requestRead(error_code error)
  {
    const auto server = m_server.lock();
    if (!server)
      return;
    if (error == http::error::body_limit ||
        error == http::error::header_limit) {
      refuseTooLarge();
      return;
    }
    if (error) {
      close();
      return;
    }
    // Beast 1.74 misses that a body is over its limit when it parses the first
    // bytes of it along with the header.
    if (m_parser->get().body().size() > (*server)->m_settings.maxBodyBytes) {
      refuseTooLarge();
      return;
    }
    setPending(true);
    m_requestAge = steadyNow() - m_idleSince;
    m_keepAlive = m_parser->get().keep_alive();
    const HttpRequest request = toHttpRequest(m_parser->get());
    m_parser.reset();
    if (!runGuarded("request",
                    [&] { (*server)->m_handler(request, shared_from_this()); }))
      answer(handlerFailedReply());
    if (!m_isAnswered)
      watchForDisconnect();
  }

  /// Waits for the client to disconnect. Ends without effect when bytes of a
  /// further request arrive.
  void watchForDisconnect()
  {
    if (m_buffer.size() > 0)
      return;
    m_isWatchingForDisconnect = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](error_code error) {
                          self->m_isWatchingForDisconnect = false;
                          if (!error && !self->m_isAnswered)
                            self->checkForDisconnect();
                        });
  }

  void checkForDisconnect()
  {
    char byte = 0;
    error_code error;
    m_socket.non_blocking(true, error);
    const std::size_t count = m_socket.receive(
      net::buffer(&byte, 1), net::socket_base::message_peek, error);
    if (error == net::error::would_block) {
      watchForDisconnect();
      return;
    }
    if (!error && count > 0)
      return;
    m_isAnswered = true;
    setPending(false);
    close();
    if (const auto callback = std::exchange(m_onClientDisconnected, nullptr))
      callback();
  }

  void replyWritten(error_code error, bool isLast)
  {
    setPending(false);
    m_idleSince = steadyNow();
    m_isAnswered = false;
    m_output.clear();
    if (error || isLast) {
      close();
      return;
    }
    readRequest();
  }

  void close()
  {
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
  }

  void setPending(bool isPending)
  {
    const auto server = m_server.lock();
    if (server && isPending != m_isPending)
      isPending ? ++(*server)->m_pendingRequests
                : --(*server)->m_pendingRequests;
    m_isPending = isPending;
  }

  static std::string render(const HttpReply& reply, bool isLast)
  {
    std::string text = "HTTP/1.1 " + std::to_string(reply.status()) + ' ' +
                       std::string(http::obsolete_reason(
                         static_cast<http::status>(reply.status()))) +
                       "\r\n";
    if (!reply.contentType().empty())
      text += "Content-Type: " + reply.contentType() + "\r\n";
    for (const HttpHeader& header : reply.headers())
      text += header.name() + ": " + header.value() + "\r\n";
    if (isLast)
      text += "Connection: close\r\n";
    text += "Content-Length: " + std::to_string(reply.body().size()) +
            "\r\n\r\n" + reply.body();
    return text;
  }

  tcp::socket m_socket;
  const std::weak_ptr<AsyncHttpServer*> m_server;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::string m_output;
  TimePoint m_idleSince;
  Duration m_requestAge = Duration::zero();
  std::function<void()> m_onClientDisconnected;
  bool m_keepAlive = true;
  bool m_isPending = false;
  bool m_isAnswered = false;
  bool m_isWatchingForDisconnect = false;
};

AsyncHttpServer::AsyncHttpServer(net::io_context& context,
                                 Settings settings,
                                 Handler handler)
  : m_settings(settings)
  , m_handler(std::move(handler))
  , m_acceptor(context)
  , m_acceptTimer(context)
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

std::size_t
AsyncHttpServer::connectionCount() const
{
  std::size_t count = 0;
  for (const auto& session : m_sessions)
    count += session.expired() ? 0 : 1;
  return count;
}

void
AsyncHttpServer::accept()
{
  m_acceptor.async_accept([this, alive = std::weak_ptr(m_self)](
                            error_code error, tcp::socket socket) {
    if (alive.expired() || error == net::error::operation_aborted)
      return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session =
        std::make_shared<Session>(std::move(socket), std::weak_ptr(m_self));
      m_sessions.remove_if([](const auto& weak) { return weak.expired(); });
      m_sessions.push_back(session);
      session->readRequest();
      if (m_acceptor.is_open())
        accept();
      return;
    }
    logEvent(
      LogLevel::Warning, "accept-failed", { { "reason", error.message() } });
    acceptLater();
  });
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
