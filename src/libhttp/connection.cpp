#include "connection.h"

#include <netinet/tcp.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace cowslippin {

namespace {

namespace net = boost::asio;
using boost::system::error_code;

constexpr int keepAliveProbes = 3;

template<int Option>
using TcpOption = net::detail::socket_option::integer<IPPROTO_TCP, Option>;

template<class Unit>
int
countOf(Duration duration)
{
  return static_cast<int>(std::chrono::ceil<Unit>(duration).count());
}

void
limitSilence(Connection::Socket& socket,
             const Connection::SilenceLimits& limits,
             error_code& error)
{
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const auto set = [&](const auto& option) {
    if (!error) {
      socket.set_option(option, error);
    }
  };
  set(net::ip::tcp::no_delay(true));
  set(net::socket_base::keep_alive(true));
  set(TcpOption<TCP_KEEPIDLE>(countOf<seconds>(limits.keepAliveIdle)));
  set(TcpOption<TCP_KEEPINTVL>(countOf<seconds>(limits.keepAliveInterval)));
  set(TcpOption<TCP_KEEPCNT>(keepAliveProbes));
  set(TcpOption<TCP_USER_TIMEOUT>(
    countOf<milliseconds>(limits.unacknowledgedLimit)));
}

} // namespace

Connection::Connection(net::io_context& context, Address address)
  : m_address(std::move(address))
  , m_strand(net::make_strand(context.get_executor()))
  , m_socket(m_strand)
{
}

bool
Connection::isUsable()
{
  if (!m_socket.is_open() || m_buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  error_code error;
  m_socket.receive(
    net::buffer(&byte, 1), net::socket_base::message_peek, error);
  return error == net::error::would_block;
}

void
Connection::connect(const SilenceLimits& limits,
                    std::function<void(error_code)> connected)
{
  error_code error;
  const auto host = net::ip::make_address(m_address.host(), error);
  const net::ip::tcp::endpoint peer(host, m_address.port());
  if (!error) {
    m_socket.open(peer.protocol(), error);
  }
  if (!error) {
    m_socket.non_blocking(true, error);
  }
  if (!error) {
    limitSilence(m_socket, limits, error);
  }
  if (error) {
    net::post(m_strand,
              [connected = std::move(connected), error] { connected(error); });
    return;
  }
  m_socket.async_connect(peer, std::move(connected));
}

void
Connection::close()
{
  error_code ignored;
  m_socket.close(ignored);
}

} // namespace cowslippin
