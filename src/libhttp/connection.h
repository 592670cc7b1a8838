#pragma once

#include "libcore/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace cowslippin {

/// A TCP connection to an endpoint and the strand that its operations run on.
/// It has one user at a time.
class Connection
{
public:
  /// How soon TCP itself finds out that a connection has gone silent.
  struct SilenceLimits
  {
    Duration unacknowledgedLimit;
    Duration keepAliveIdle;
    Duration keepAliveInterval;
  };

  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::ip::tcp::socket;

  Connection(boost::asio::io_context& context, Address address);

  const Address& address() const { return m_address; }
  const Strand& strand() const { return m_strand; }
  Socket& socket() { return m_socket; }
  boost::beast::flat_buffer& buffer() { return m_buffer; }

  /// Whether it has been connected and neither end has closed it. One on which
  /// bytes have come that nobody asked for counts as closed.
  bool isUsable();

  /// Opens the socket and connects it. `connected` is told the error.
  void connect(const SilenceLimits& limits,
               std::function<void(boost::system::error_code)> connected);

  /// Closes the socket; its operations end as aborted.
  void close();

  TimePoint idleSince() const { return m_idleSince; }
  void setIdleSince(TimePoint time) { m_idleSince = time; }

private:
  const Address m_address;
  Strand m_strand;
  Socket m_socket;
  boost::beast::flat_buffer m_buffer;
  TimePoint m_idleSince{};
};

} // namespace cowslippin
