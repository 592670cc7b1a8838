#include "reachabilityprobe.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace cowslippin {

namespace {

/// One address may belong to a machine that has ended, so several are tried.
constexpr std::size_t addressesPerStart = 3;
constexpr std::size_t maxAttempts = 12;

} // namespace

ReachabilityProbe::ReachabilityProbe(boost::asio::io_context& context)
  : m_context(context)
{
}

void
ReachabilityProbe::start(const std::vector<Address>& addresses,
                         const std::function<void()>& reached)
{
  const std::size_t count = std::min(addresses.size(), addressesPerStart);
  for (std::size_t i = 0; i < count; ++i)
    connect(addresses[m_next++ % addresses.size()], reached);
}

void
ReachabilityProbe::connect(const Address& address,
                           const std::function<void()>& reached)
{
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(address.host(), error);
  if (error)
    return;
  if (m_sockets->size() >= maxAttempts)
    m_sockets->front().close(error);
  const auto socket = m_sockets->emplace(m_sockets->end(), m_context);
  socket->async_connect({ host, address.port() },
                        [all = std::weak_ptr<Sockets>(m_sockets),
                         socket,
                         reached](boost::system::error_code result) {
                          const auto sockets = all.lock();
                          if (!sockets)
                            return;
                          sockets->erase(socket);
                          if (!result)
                            reached();
                        });
}

} // namespace cowslippin
