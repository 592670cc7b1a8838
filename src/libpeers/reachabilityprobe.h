#pragma once

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace cowslippin {

/// Finds out whether any of some addresses can be reached, by TCP connections
/// that are closed at once. A new connection is answered within a round trip,
/// while an earlier attempt may wait a second to be repeated.
class ReachabilityProbe
{
public:
  explicit ReachabilityProbe(boost::asio::io_context& context);

  /// Tries some of the addresses, other ones each time. Calls the function for
  /// each one that accepts a connection. Earlier attempts are given up when
  /// there are too many.
  void start(const std::vector<Address>& addresses,
             const std::function<void()>& reached);

private:
  using Sockets = std::list<boost::asio::ip::tcp::socket>;

  void connect(const Address& address, const std::function<void()>& reached);

  boost::asio::io_context& m_context;
  /// The attempts that have no answer yet, the oldest first.
  std::shared_ptr<Sockets> m_sockets = std::make_shared<Sockets>();
  std::size_t m_next = 0;
};

} // namespace cowslippin
