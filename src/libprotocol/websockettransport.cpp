#include "websockettransport.h"

#include "libobserve/observe.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int listenBacklog = 256;
/// Limit of a message of a peer that isn't identified. The first message of a
/// daemon lists the addresses of the others, which has room for 2,000 of them.
constexpr std::size_t maxFirstMessageBytes = std::size_t(128) << 10;
/// Limit of received bytes of an accepted connection that weren't read yet. The
/// system would raise its own with each connection that is read quickly.
constexpr int receiveBufferBytes = 128 << 10;
/// A crowd that connects again at once must not fill the log.
constexpr Duration limitLogInterval = std::chrono::seconds(1);

Problem
cannotListen(const Address& address, const std::string& reason)
{
  return Problem::invalidField("peer address",
                               address.toString(),
                               "an address of this VM to listen on (" + reason +
                                 ")");
}

/// Leaves pings without an answer: daemons send heartbeats instead, and
/// websocketpp queues pongs without limit for a peer that doesn't read.
bool
ignorePing(const websocketpp::connection_hdl& /*handle*/,
           const std::string& /*payload*/)
{
  return false;
}

/// Accepted connections inherit the size from the listening socket.
websocketpp::lib::error_code
limitReceiveBuffer(const std::shared_ptr<tcp::acceptor>& acceptor)
{
  boost::system::error_code error;
  acceptor->set_option(
    asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
  return error;
}

LinkEnd
endOf(const WebSocketConnection& connection)
{
  const auto code = connection.get_remote_close_code();
  const bool isLeaving = code == websocketpp::close::status::going_away;
  return isLeaving ? LinkEnd::GoingAway : LinkEnd::Lost;
}

} // namespace

WebSocketTransport::WebSocketTransport(asio::io_context& context,
                                       Settings settings,
                                       Hooks hooks)
  : m_context(context)
  , m_settings(settings)
  , m_hooks(std::move(hooks))
{
  setUp(m_client);
  setUp(m_server);
}

WebSocketTransport::~WebSocketTransport()
{
  closeAll();
  for (const auto& entry : m_closing)
    abort(entry.second);
  for (const auto& entry : m_accepted)
    abort(entry.second);
}

Result<Address>
WebSocketTransport::listen(const Address& address)
{
  boost::system::error_code hostError;
  const auto host = asio::ip::make_address(address.host(), hostError);
  if (hostError)
    return failure(cannotListen(address, hostError.message()));
  websocketpp::lib::error_code error;
  m_server.listen(tcp::endpoint(host, address.port()), error);
  if (error)
    return failure(cannotListen(address, error.message()));
  m_server.start_accept(error);
  if (error)
    return failure(cannotListen(address, error.message()));
  const tcp::endpoint local = m_server.get_local_endpoint(hostError);
  return Address(address.host(), local.port());
}

LinkId
WebSocketTransport::dial(const Address& address)
{
  const LinkId link = ++m_lastLink;
  websocketpp::lib::error_code error;
  const ConnectionPtr connection =
    m_client.get_connection("ws://" + address.toString() + "/", error);
  if (error) {
    asio::post(m_context,
               [this, link] { m_hooks.closed(link, LinkEnd::Lost); });
    return link;
  }
  connection->set_open_handler(
    [this, link](const auto&) { dialledOpen(link); });
  setHandlers(link, connection);
  m_links.emplace(link, connection);
  m_client.connect(connection);
  return link;
}

void
WebSocketTransport::identified(LinkId link)
{
  m_unidentified.erase(link);
  if (const ConnectionPtr connection = find(link))
    connection->set_max_message_size(m_settings.maxMessageBytes);
}

void
WebSocketTransport::send(LinkId link, const std::vector<std::uint8_t>& bytes)
{
  const ConnectionPtr connection = find(link);
  if (!connection)
    return;
  const std::size_t buffered = connection->get_buffered_amount();
  if (buffered + bytes.size() > m_settings.maxBufferedBytes) {
    endLater(link);
    return;
  }
  connection->send(
    bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
}

void
WebSocketTransport::drop(LinkId link)
{
  const auto found = m_links.find(link);
  if (found == m_links.end())
    return;
  const ConnectionPtr connection = found->second;
  m_links.erase(found);
  forgetAccepted(link);
  abort(connection);
}

void
WebSocketTransport::close(LinkId link)
{
  const auto found = m_links.find(link);
  if (found == m_links.end())
    return;
  const ConnectionPtr connection = found->second;
  m_links.erase(found);
  forgetAccepted(link);
  websocketpp::lib::error_code error;
  connection->close(websocketpp::close::status::going_away, "", error);
  if (error)
    abort(connection);
  else
    m_closing.emplace(link, connection);
}

void
WebSocketTransport::closeAll()
{
  m_isClosing = true;
  websocketpp::lib::error_code error;
  if (m_server.is_listening())
    m_server.stop_listening(error);
  while (!m_links.empty())
    close(m_links.begin()->first);
}

void
WebSocketTransport::setUp(WebSocketClient& client)
{
  client.init_asio(&m_context);
  client.set_open_handshake_timeout(
    toMilliseconds(m_settings.handshakeTimeout));
  client.set_close_handshake_timeout(
    toMilliseconds(m_settings.handshakeTimeout));
}

void
WebSocketTransport::setUp(WebSocketServer& server)
{
  server.init_asio(&m_context);
  server.set_open_handshake_timeout(
    toMilliseconds(m_settings.handshakeTimeout));
  server.set_close_handshake_timeout(
    toMilliseconds(m_settings.handshakeTimeout));
  server.set_max_http_body_size(0);
  server.set_reuse_addr(true);
  server.set_listen_backlog(listenBacklog);
  server.set_tcp_pre_bind_handler(limitReceiveBuffer);
  server.set_tcp_pre_init_handler(
    [this](const auto& handle) { connectionAccepted(handle); });
}

void
WebSocketTransport::setHandlers(LinkId link, const ConnectionPtr& connection)
{
  connection->set_message_handler(
    [this, link](const auto&, const auto& message) {
      if (m_links.count(link) != 0)
        m_hooks.received(link, message->get_payload());
    });
  connection->set_max_message_size(
    std::min(maxFirstMessageBytes, m_settings.maxMessageBytes));
  connection->set_ping_handler(ignorePing);
  connection->set_fail_handler([this, link](const auto&) { ended(link); });
  connection->set_close_handler([this, link](const auto&) { ended(link); });
}

/// Called before anything is read from the connection.
void
WebSocketTransport::connectionAccepted(
  const websocketpp::connection_hdl& handle)
{
  const ConnectionPtr connection = m_server.get_con_from_hdl(handle);
  if (m_isClosing) {
    abort(connection);
    return;
  }
  const LinkId link = ++m_lastLink;
  setHandlers(link, connection);
  connection->set_open_handler(
    [this, link](const auto&) { acceptedOpen(link); });
  m_accepted.emplace(link, connection);
  m_unidentified.insert(link);
  boundAccepted();
}

/// Ends the oldest connection whose peer isn't identified if there are too
/// many: a daemon that connects says hello at once.
void
WebSocketTransport::boundAccepted()
{
  if (m_unidentified.size() <= m_settings.maxUnidentified &&
      m_accepted.size() <= m_settings.maxAccepted)
    return;
  logLimit();
  const LinkId oldest = *m_unidentified.begin();
  const ConnectionPtr connection = m_accepted.at(oldest);
  if (m_links.count(oldest) != 0)
    endLater(oldest);
  else
    abort(connection);
  forgetAccepted(oldest);
}

void
WebSocketTransport::logLimit()
{
  ++m_endedUnlogged;
  const TimePoint now = steadyNow();
  if (now < m_nextLimitLogAt)
    return;
  logEvent(LogLevel::Warning,
           "peer-connections-ended",
           { { "count", std::exchange(m_endedUnlogged, 0) },
             { "accepted", m_accepted.size() },
             { "unidentified", m_unidentified.size() } });
  m_nextLimitLogAt = now + limitLogInterval;
}

void
WebSocketTransport::forgetAccepted(LinkId link)
{
  m_accepted.erase(link);
  m_unidentified.erase(link);
}

void
WebSocketTransport::acceptedOpen(LinkId link)
{
  const auto found = m_accepted.find(link);
  if (found == m_accepted.end())
    return;
  const ConnectionPtr connection = found->second;
  if (m_isClosing) {
    forgetAccepted(link);
    abort(connection);
    return;
  }
  m_links.emplace(link, connection);
  boost::system::error_code ignored;
  connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
  m_hooks.accepted(link);
}

void
WebSocketTransport::dialledOpen(LinkId link)
{
  const ConnectionPtr connection = find(link);
  if (!connection)
    return;
  boost::system::error_code ignored;
  connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
}

void
WebSocketTransport::ended(LinkId link)
{
  m_closing.erase(link);
  forgetAccepted(link);
  const auto found = m_links.find(link);
  if (found == m_links.end())
    return;
  const ConnectionPtr connection = found->second;
  m_links.erase(found);
  m_hooks.closed(link, endOf(*connection));
}

void
WebSocketTransport::endLater(LinkId link)
{
  drop(link);
  asio::post(m_context, [this, link] { m_hooks.closed(link, LinkEnd::Lost); });
}

WebSocketTransport::ConnectionPtr
WebSocketTransport::find(LinkId link) const
{
  const auto found = m_links.find(link);
  return found == m_links.end() ? nullptr : found->second;
}

/// Closing the socket under websocketpp makes it end the connection.
void
WebSocketTransport::abort(const ConnectionPtr& connection)
{
  boost::system::error_code ignored;
  connection->get_raw_socket().close(ignored);
}

} // namespace cowslippin
