#pragma once

#include "httpchannel.h"

#include <memory>
#include <vector>

namespace cowslippin {

/// The connections to one server, each used for one call at a time.
class HttpChannelPool
{
public:
  HttpChannelPool(boost::asio::io_context& context,
                  Address address,
                  std::size_t limit);
  ~HttpChannelPool();
  HttpChannelPool(const HttpChannelPool&) = delete;
  HttpChannelPool& operator=(const HttpChannelPool&) = delete;

  /// Calls over the connection that was used last, or a new one. `done` is
  /// told `NotSent` if as many calls as allowed are under way; it is never
  /// called from within.
  void call(const HttpCallOrder& order,
            TimePoint deadline,
            HttpChannel::Done done);

  /// Ends calls whose time is over and drops closed connections.
  void expire(TimePoint now);

  /// Whether a part of an answer to any call has come.
  bool isReceiving() const;

  std::size_t size() const { return m_channels.size(); }

private:
  boost::asio::io_context& m_context;
  const Address m_address;
  const std::size_t m_limit;
  std::vector<std::shared_ptr<HttpChannel>> m_channels;
};

} // namespace cowslippin
