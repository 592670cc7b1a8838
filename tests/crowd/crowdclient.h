#pragma once

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cowslippin::testing {

/// A client that sends given bytes, stays connected, and connects again
/// whenever its connection is closed.
class CrowdClient
{
public:
  struct Settings
  {
    Address server;
    /// The bytes to send after the first `sent`; empty if there are no more.
    std::function<std::string(std::size_t sent)> nextBytes;
    /// Whether answers are read.
    bool reads = true;
  };

  CrowdClient(boost::asio::io_context& context, Settings settings);
  ~CrowdClient();

  /// Whether it has sent all that it can, or was disconnected at least once.
  bool hasArrived() const;

private:
  struct State;

  std::shared_ptr<State> m_state;
};

} // namespace cowslippin::testing
