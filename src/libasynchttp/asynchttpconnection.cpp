#include "asynchttpconnection.h"

#include "libcore/loopturn.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

namespace {

/// The size of a read. It begins small, as most responses are short and there
/// are hundreds of connections, and doubles each time that a read was filled.
constexpr std::size_t minReadBytes = 512;
constexpr std::size_t maxReadBytes = std::size_t(64) << 10;
/// How often a call may go on after its deadline because a part of its response
/// was read. A server that sends a byte at a time must not keep it forever.
constexpr unsigned maxReprieves = 3;

} // namespace

AsyncHttpConnection::AsyncHttpConnection(net::io_context& context,
                                         Address address,
                                         std::string host)
  : m_socket(context)
  , m_address(std::move(address))
  , m_host(host.empty() ? m_address.toString() : std::move(host))
{
}

void
AsyncHttpConnection::call(const HttpCallRequest& order,
                          TimePoint deadline,
                          Done done)
{
  send({ encode(order), order.maxResponseBytes, order.idleTimeout },
       deadline,
       std::move(done));
}

void
AsyncHttpConnection::send(EncodedHttpCall order, TimePoint deadline, Done done)
{
  m_done = std::move(done);
  m_deadline = deadline;
  m_idleTimeout = order.idleTimeout;
  m_maxResponseBytes = order.maxResponseBytes;
  m_latestDeadline = deadline + maxDeadlineExtension;
  m_output = std::move(order.bytes);
  m_isSent = false;
  m_isOverdue = false;
  m_reprieves = 0;
  m_receivedBytes = 0;
  m_bytesAtExtension = 0;
  ++m_generation;
  if (m_isConnected && mayBeClosedByPeer() && wasClosedByPeer())
    close();
  if (m_isConnected)
    write();
  else
    connect();
}

void
AsyncHttpConnection::expire(TimePoint now)
{
  if (!isBusy())
    return;
  extendDeadline(now);
  if (now < m_deadline || m_isOverdue)
    return;
  m_isOverdue = true;
  runAfterLoopTurn(m_socket.get_executor(),
                   [weak = weak_from_this(),
                    generation = m_generation,
                    received = m_receivedBytes] {
                     const auto self = weak.lock();
                     if (self && generation == self->m_generation &&
                         self->isBusy())
                       self->endIfStillOverdue(received);
                   });
}

void
AsyncHttpConnection::endIfStillOverdue(std::size_t receivedBefore)
{
  m_isOverdue = false;
  const bool isArriving = m_receivedBytes != receivedBefore || hasUnreadBytes();
  if (isArriving && m_reprieves < maxReprieves) {
    ++m_reprieves;
    return;
  }
  endCall(m_isSent ? HttpCallResult::Kind::Unanswered
                   : HttpCallResult::Kind::NotSent);
}

/// One poll reports a limited number of sockets, so that this one may not have
/// been read in a complete turn.
bool
AsyncHttpConnection::hasUnreadBytes() const
{
  error_code error;
  return m_isConnected && m_socket.available(error) > 0 && !error;
}

/// A call whose response is still being received doesn't end at its first
/// deadline: a retry would begin at the first byte, on a link that is no
/// faster.
void
AsyncHttpConnection::extendDeadline(TimePoint now)
{
  if (!m_idleTimeout || m_receivedBytes == m_bytesAtExtension)
    return;
  m_bytesAtExtension = m_receivedBytes;
  m_deadline =
    std::min(std::max(m_deadline, now + *m_idleTimeout), m_latestDeadline);
}

void
AsyncHttpConnection::close()
{
  error_code ignored;
  m_socket.close(ignored);
  m_isConnected = false;
  m_buffer.clear();
}

void
AsyncHttpConnection::endNow()
{
  if (isBusy())
    endCall(m_isSent ? HttpCallResult::Kind::Unanswered
                     : HttpCallResult::Kind::NotSent);
  close();
}

void
AsyncHttpConnection::abandon()
{
  m_done = nullptr;
  ++m_generation;
  close();
}

void
AsyncHttpConnection::connect()
{
  error_code error;
  const auto host = net::ip::make_address(m_address.host(), error);
  const tcp::endpoint peer(host, m_address.port());
  if (!error)
    m_socket.open(peer.protocol(), error);
  if (!error)
    m_socket.set_option(tcp::no_delay(true), error);
  if (!error)
    m_socket.non_blocking(true, error);
  m_socket.async_connect(
    peer,
    [self = shared_from_this(), generation = m_generation](error_code failed) {
      if (generation != self->m_generation || !self->isBusy())
        return;
      // An order must not be sent after its deadline.
      if (failed || self->m_isOverdue) {
        self->endCall(HttpCallResult::Kind::NotSent);
        return;
      }
      self->m_isConnected = true;
      self->write();
    });
}

/// A request usually fits in the socket's buffer; then the write takes one
/// system call and no turn of the event loop.
void
AsyncHttpConnection::write()
{
  m_isSent = true;
  error_code error;
  const std::size_t sent = m_socket.write_some(net::buffer(m_output), error);
  if (!error && sent == m_output.size())
    read();
  else
    writeRest(error ? 0 : sent);
}

/// Also reports an error of the first write: the socket fails again.
void
AsyncHttpConnection::writeRest(std::size_t sent)
{
  net::async_write(m_socket,
                   net::buffer(m_output) + sent,
                   [self = shared_from_this(),
                    generation = m_generation](error_code error, std::size_t) {
                     if (generation != self->m_generation || !self->isBusy())
                       return;
                     if (error)
                       self->endCall(HttpCallResult::Kind::Unanswered);
                     else
                       self->read();
                   });
}

void
AsyncHttpConnection::read()
{
  m_parser.emplace();
  m_parser->body_limit(m_maxResponseBytes);
  m_parser->eager(true);
  m_readBytes = minReadBytes;
  readMore();
}

void
AsyncHttpConnection::readMore()
{
  m_socket.async_read_some(
    m_buffer.prepare(m_readBytes),
    [self = shared_from_this(), generation = m_generation](error_code error,
                                                           std::size_t bytes) {
      if (generation == self->m_generation && self->isBusy())
        self->bytesRead(error, bytes);
    });
}

void
AsyncHttpConnection::bytesRead(error_code error, std::size_t bytes)
{
  m_buffer.commit(bytes);
  m_receivedBytes += bytes;
  if (bytes == m_readBytes)
    m_readBytes = std::min(2 * m_readBytes, maxReadBytes);
  if (!error)
    error = parse();
  else if (error == net::error::eof && m_parser->got_some())
    error = parseEndOfStream();
  // Beast 1.74 misses that a body is over its limit when it parses the first
  // bytes of it along with the header.
  const bool isTooLong = m_parser->get().body().size() > m_maxResponseBytes;
  if (error || isTooLong)
    endCall(HttpCallResult::Kind::Unanswered);
  else if (m_parser->is_done())
    endCall(HttpCallResult::Kind::Answered);
  else
    readMore();
}

error_code
AsyncHttpConnection::parse()
{
  error_code error;
  const std::size_t used = m_parser->put(m_buffer.data(), error);
  m_buffer.consume(used);
  return error == http::error::need_more ? error_code() : error;
}

/// A response without a length ends when the server closes the connection.
error_code
AsyncHttpConnection::parseEndOfStream()
{
  error_code error;
  m_parser->put_eof(error);
  return error;
}

void
AsyncHttpConnection::endCall(HttpCallResult::Kind kind)
{
  HttpCallResult result;
  result.kind = kind;
  result.receivedBytes = m_receivedBytes;
  bool isReusable = false;
  if (kind == HttpCallResult::Kind::Answered) {
    auto message = m_parser->release();
    isReusable = message.keep_alive();
    result.status = static_cast<int>(message.result_int());
    result.body = std::move(message.body());
  }
  if (!isReusable)
    close();
  if (m_buffer.capacity() > minReadBytes)
    m_buffer.shrink_to_fit();
  // An operation that `close` has aborted may still use the parser. The next
  // read on this connection replaces the parser only after that operation has
  // returned.
  ++m_generation;
  m_idleSince = steadyNow();
  const Done done = std::exchange(m_done, nullptr);
  done(result);
}

std::string
AsyncHttpConnection::encode(const HttpCallRequest& order) const
{
  std::string text =
    order.method + ' ' + order.target + " HTTP/1.1\r\nHost: " + m_host + "\r\n";
  for (const HttpHeader& header : order.headers)
    text += header.name() + ": " + header.value() + "\r\n";
  if (!order.contentType.empty())
    text += "Content-Type: " + order.contentType + "\r\n";
  if (order.method != "GET")
    text += "Content-Length: " + std::to_string(order.body.size()) + "\r\n";
  return text + "\r\n" + order.body;
}

bool
AsyncHttpConnection::mayBeClosedByPeer() const
{
  return steadyNow() - m_idleSince > uncheckedIdleTime;
}

bool
AsyncHttpConnection::wasClosedByPeer()
{
  char byte = 0;
  error_code error;
  m_socket.receive(
    net::buffer(&byte, 1), net::socket_base::message_peek, error);
  return error != net::error::would_block;
}

} // namespace cowslippin
