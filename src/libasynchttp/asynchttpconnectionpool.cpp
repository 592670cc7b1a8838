#include "asynchttpconnectionpool.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

HttpChannelPool::HttpChannelPool(boost::asio::io_context& context,
                                 Address address,
                                 std::size_t limit)
  : m_context(context)
  , m_address(std::move(address))
  , m_limit(limit)
{
}

HttpChannelPool::~HttpChannelPool()
{
  for (const auto& channel : m_channels)
    channel->close();
}

void
HttpChannelPool::call(const HttpCallOrder& order,
                      TimePoint deadline,
                      HttpChannel::Done done)
{
  std::shared_ptr<HttpChannel> best;
  for (const auto& channel : m_channels) {
    if (!channel->isBusy() && channel->isOpen() &&
        (!best || channel->idleSince() > best->idleSince()))
      best = channel;
  }
  if (!best && m_channels.size() >= m_limit) {
    boost::asio::post(m_context, [done = std::move(done)] {
      done({ HttpCallEnd::Kind::NotSent, 0, {} });
    });
    return;
  }
  if (!best) {
    best = std::make_shared<HttpChannel>(m_context, m_address);
    m_channels.push_back(best);
  }
  best->call(order, deadline, std::move(done));
}

void
HttpChannelPool::expire(TimePoint now)
{
  // An ended call may start another one, which adds a channel.
  const auto channels = m_channels;
  for (const auto& channel : channels)
    channel->expire(now);
  const auto isDead = [](const auto& channel) {
    return !channel->isBusy() && !channel->isOpen();
  };
  m_channels.erase(std::remove_if(m_channels.begin(), m_channels.end(), isDead),
                   m_channels.end());
}

bool
HttpChannelPool::isReceiving() const
{
  return std::any_of(
    m_channels.begin(), m_channels.end(), [](const auto& channel) {
      return channel->isReceiving();
    });
}

} // namespace cowslippin
