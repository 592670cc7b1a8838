#include "asynchttpsession.h"

#include "libobserve/observe.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslippin {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

/// Most requests with their bodies are smaller; the buffer grows for others.
constexpr std::size_t initialBufferBytes = 1024;
/// What a field of a header takes beside its name and its value.
constexpr std::size_t fieldOverheadBytes = 100;
/// Requests of ordinary clients arrive within this time of their first bytes.
constexpr Duration usualRequestTime = std::chrono::seconds(1);
constexpr int contentTooLarge = 413;
constexpr int headerFieldsTooLarge = 431;

HttpRequest
toHttpRequest(const http::request<BoundedBody>& message, std::string body)
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
  fields.body = std::move(body);
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

std::string
render(const HttpReply& reply, bool isLast)
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

} // namespace

AsyncHttpServer::Session::Session(tcp::socket socket,
                                  std::shared_ptr<ConnectionBudget> budget,
                                  std::weak_ptr<AsyncHttpServer*> server)
  : m_socket(std::move(socket))
  , m_server(std::move(server))
  , m_readBytes(initialBufferBytes)
  , m_share(std::move(budget), [this] { closeForBudget(); })
  , m_clientTimeout(Duration::zero())
  , m_idleSince(steadyNow())
{
  m_buffer.reserve(initialBufferBytes);
  if (const auto owner = m_server.lock())
    ++(*owner)->m_connections;
}

AsyncHttpServer::Session::~Session()
{
  close();
}

void
AsyncHttpServer::Session::readRequest()
{
  const auto server = m_server.lock();
  if (!server)
    return;
  const Settings& settings = (*server)->m_settings;
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(settings.maxHeaderBytes);
  m_parser->body_limit(settings.maxBodyBytes);
  m_parser->get().body().maxBytes = settings.maxBodyBytes;
  m_buffer.max_size(settings.maxHeaderBytes);
  if (m_buffer.size() > 0)
    parse();
  else
    readSome();
}

void
AsyncHttpServer::Session::parse()
{
  const auto server = m_server.lock();
  if (!server)
    return;
  error_code error;
  m_buffer.consume(m_parser->put(m_buffer.data(), error));
  const bool needsMore = !error || error == http::error::need_more;
  if (error == http::error::body_limit)
    refuse(contentTooLarge);
  else if (error == http::error::header_limit ||
           (needsMore && hasTooManyFields(**server)))
    refuse(headerFieldsTooLarge);
  else if (!needsMore)
    close();
  else if (m_parser->is_done())
    requestRead(**server);
  else {
    waitForRest();
    if (m_parser->is_header_done() && !m_isRequestTimeoutKnown) {
      m_isRequestTimeoutKnown = true;
      m_clientTimeout = requestTimeout(**server);
    }
    readSome();
  }
}

void
AsyncHttpServer::Session::waitForRest()
{
  const auto server = m_server.lock();
  if (m_waitingSince || !server)
    return;
  m_waitingSince = steadyNow();
  m_clientTimeout = (*server)->m_settings.clientTimeout;
  (*server)->watchSlowClients();
}

Duration
AsyncHttpServer::Session::requestTimeout(const AsyncHttpServer& server)
{
  const auto& timeoutOf = server.m_settings.requestTimeout;
  return timeoutOf ? timeoutOf(toHttpRequest(m_parser->get(), std::string()))
                   : server.m_settings.clientTimeout;
}

void
AsyncHttpServer::Session::readSome()
{
  const std::size_t freeBytes = m_buffer.max_size() - m_buffer.size();
  if (freeBytes == 0) {
    refuse(headerFieldsTooLarge);
    return;
  }
  const std::size_t wanted = std::min(m_readBytes, freeBytes);
  const auto room = m_buffer.prepare(wanted);
  if (!account())
    return;
  m_socket.async_read_some(
    room,
    [self = shared_from_this(), wanted](error_code error, std::size_t count) {
      if (error || self->m_isClosed) {
        self->close();
        return;
      }
      self->m_buffer.commit(count);
      if (count == wanted)
        self->m_readBytes = std::min(2 * wanted, self->m_buffer.max_size());
      self->parse();
    });
}

bool
AsyncHttpServer::Session::account()
{
  m_share.hold(heldBytes(), m_waitingSince);
  return !m_isClosed;
}

std::size_t
AsyncHttpServer::Session::heldBytes() const
{
  std::size_t sum = m_buffer.capacity() + m_output.capacity();
  if (!m_parser)
    return sum;
  sum += m_parser->get().body().bytes.capacity();
  for (const auto& field : m_parser->get())
    sum +=
      fieldOverheadBytes + field.name_string().size() + field.value().size();
  return sum;
}

bool
AsyncHttpServer::Session::hasTooManyFields(const AsyncHttpServer& server) const
{
  const auto& fields = m_parser->get().base();
  return std::size_t(std::distance(fields.begin(), fields.end())) >
         server.m_settings.maxHeaderFields;
}

void
AsyncHttpServer::Session::requestRead(AsyncHttpServer& server)
{
  setPending(true);
  m_requestAge = steadyNow() - m_idleSince;
  m_keepAlive = m_parser->get().keep_alive();
  const HttpRequest request =
    toHttpRequest(m_parser->get(), std::move(m_parser->get().body().bytes));
  m_parser.reset();
  m_waitingSince.reset();
  m_isRequestTimeoutKnown = false;
  shrinkBuffer();
  account();
  if (!runGuarded("request",
                  [&] { server.m_handler(request, shared_from_this()); }))
    answer(handlerFailedReply());
  if (!m_isAnswered && !m_isClosed)
    watchForDisconnect();
}

void
AsyncHttpServer::Session::refuse(int status)
{
  setPending(true);
  m_keepAlive = false;
  answer(HttpReply::json(status, R"({"error":"the request is too large"})"));
}

void
AsyncHttpServer::Session::shrinkBuffer()
{
  m_readBytes = initialBufferBytes;
  if (m_buffer.size() == 0 && m_buffer.capacity() > initialBufferBytes) {
    m_buffer.shrink_to_fit();
    m_buffer.reserve(initialBufferBytes);
  }
}

void
AsyncHttpServer::Session::answer(const HttpReply& reply)
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
  waitForRest();
  if (!account())
    return;
  net::async_write(
    m_socket,
    net::buffer(m_output),
    [self = shared_from_this(), isLast](error_code error, std::size_t) {
      self->replyWritten(error, isLast);
    });
}

void
AsyncHttpServer::Session::onClientDisconnected(std::function<void()> callback)
{
  m_onClientDisconnected = std::move(callback);
}

void
AsyncHttpServer::Session::closeForBudget()
{
  close();
  if (const auto server = m_server.lock())
    (*server)->noteClosed("bytes");
}

void
AsyncHttpServer::Session::closeIfIdle()
{
  if (!m_isPending)
    close();
}

bool
AsyncHttpServer::Session::closesBefore(const Session& other,
                                       TimePoint now) const
{
  const auto order = [now](const Session& session) {
    const int group = session.isSlow(now) ? 0 : session.m_waitingSince ? 2 : 1;
    return std::pair(group,
                     session.m_waitingSince.value_or(session.m_idleSince));
  };
  return order(*this) < order(other);
}

bool
AsyncHttpServer::Session::isLate(TimePoint now) const
{
  return m_waitingSince && now - *m_waitingSince > m_clientTimeout;
}

bool
AsyncHttpServer::Session::isSlow(TimePoint now) const
{
  return m_waitingSince && now - *m_waitingSince > usualRequestTime;
}

void
AsyncHttpServer::Session::watchForDisconnect()
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

void
AsyncHttpServer::Session::checkForDisconnect()
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

void
AsyncHttpServer::Session::replyWritten(error_code error, bool isLast)
{
  if (m_isClosed)
    return;
  setPending(false);
  m_idleSince = steadyNow();
  m_isAnswered = false;
  m_waitingSince.reset();
  m_output = {};
  if (error || isLast) {
    close();
    return;
  }
  readRequest();
}

void
AsyncHttpServer::Session::close()
{
  if (m_isClosed)
    return;
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  m_isClosed = true;
  if (const auto server = m_server.lock())
    --(*server)->m_connections;
  setPending(false);
  m_waitingSince.reset();
  m_parser.reset();
  m_buffer.clear();
  m_buffer.shrink_to_fit();
  m_output = {};
  m_share.hold(0, std::nullopt);
}

void
AsyncHttpServer::Session::setPending(bool isPending)
{
  const auto server = m_server.lock();
  if (server && isPending != m_isPending)
    isPending ? ++(*server)->m_pendingRequests : --(*server)->m_pendingRequests;
  m_isPending = isPending;
}

} // namespace cowslippin
