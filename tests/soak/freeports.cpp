#include "freeports.h"

#include <boost/asio/ip/tcp.hpp>

#include <stdexcept>
#include <unistd.h>
#include <vector>

namespace cowslippin::testing {

namespace {

/// Ports that a soak of the usual size uses.
constexpr unsigned portsNeeded = 20;

bool
isRangeFree(unsigned firstPort)
{
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::acceptor> acceptors;
  try {
    for (unsigned i = 0; i < portsNeeded; ++i)
      acceptors.emplace_back(context,
                             boost::asio::ip::tcp::endpoint(
                               boost::asio::ip::address_v4::any(),
                               static_cast<std::uint16_t>(firstPort + i)));
  } catch (const boost::system::system_error&) {
    return false;
  }
  return true;
}

} // namespace

std::uint16_t
freePortRange()
{
  const unsigned start = static_cast<unsigned>(getpid()) % 400 * portsNeeded;
  for (unsigned tried = 0; tried < 400; ++tried) {
    const unsigned first = 20000 + (start + tried * portsNeeded) % 8000;
    if (isRangeFree(first))
      return static_cast<std::uint16_t>(first);
  }
  throw std::runtime_error("no range of ports is free");
}

} // namespace cowslippin::testing
