#pragma once

#include "entrycore.h"

#include "libpeers/peers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace cowslippin {

/// Runs an `EntryCore` with the machine's clocks, connections to other daemons
/// and a timer. Everything runs on the thread of the I/O context.
class EntryDaemon
{
public:
  struct Settings
  {
    EntryCore::Settings core;
    PeerConnections::Settings links;
    /// The address where other daemons connect.
    Address peerAddress;
    std::vector<Address> seeds;
  };

  /// `ticked` is called at the start of each tick.
  EntryDaemon(boost::asio::io_context& context,
              Settings settings,
              EntryCore::Ports ports,
              std::function<void(TimePoint)> ticked);

  /// Listens for other daemons and starts the timer.
  std::optional<Problem> start();

  /// The address of another daemon was read from the platform.
  void peerAddressRead(const Address& address);

  EntryCore& core() { return m_core; }

  /// Releases the held shards; `ended` is called when the process may exit.
  void leave(std::function<void()> ended);

private:
  EntryCore::Links linkFunctions();
  PeerConnections::Hooks linkHooks();
  void scheduleTick();

  boost::asio::io_context& m_context;
  const Settings m_settings;
  const std::function<void(TimePoint)> m_ticked;
  PeerConnections m_links;
  EntryCore m_core;
  boost::asio::steady_timer m_timer;
};

} // namespace cowslippin
