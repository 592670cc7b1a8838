#pragma once

#include "entrycore.h"

#include "libpeers/peers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace cowslippin {

/// An `EntryCore` with the machine's clocks, connections to other daemons and a
/// timer. All runs on the thread of the I/O context.
class EntryDaemon
{
public:
  struct Settings
  {
    EntryCore::Settings core;
    PeerLinks::Settings links;
    /// Where other daemons connect.
    Address peerAddress;
    std::vector<Address> seeds;
  };

  /// `ticked` is called at each tick, before anything else.
  EntryDaemon(boost::asio::io_context& context,
              Settings settings,
              EntryCore::Ports ports,
              std::function<void(TimePoint)> ticked);

  /// Listens for other daemons and begins.
  std::optional<Problem> start();

  /// Another daemon exists there.
  void memberRead(const Address& address);

  EntryCore& core() { return m_core; }

  /// Gives up what is held; `ended` is called when the process may exit.
  void leave(std::function<void()> ended);

private:
  EntryCore::Links linkFunctions();
  PeerLinks::Hooks linkHooks();
  void tickLater();

  boost::asio::io_context& m_context;
  const Settings m_settings;
  const std::function<void(TimePoint)> m_ticked;
  PeerLinks m_links;
  EntryCore m_core;
  boost::asio::steady_timer m_timer;
};

} // namespace cowslippin
