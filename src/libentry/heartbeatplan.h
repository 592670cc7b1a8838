#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace cowslippin {

/// When which other daemon is sent a heartbeat, and how long it may have to
/// wait for the next one. It does no input or output and reads no clock.
///
/// It answers a group that grows: heartbeats from each to each at a short
/// interval cost a daemon in proportion to the group. So they have a budget.
/// Close peers, those that have jobs in common with this daemon, are always
/// sent one at the short interval, since a caller's job hangs on noticing
/// their loss; the others take turns in what is left.
class HeartbeatPlan
{
public:
  struct Settings
  {
    /// Three of them fit into the silence limit between close daemons.
    Duration interval = std::chrono::milliseconds(140);
    /// Heartbeats that are sent in one interval, if that is enough for all
    /// close peers. As many peers and fewer are all sent one each interval.
    std::size_t perInterval = 49;
    /// Peers that aren't close and are sent one in an interval, however many
    /// are close.
    std::size_t leastDistant = 10;
  };

  explicit HeartbeatPlan(Settings settings)
    : m_settings(settings)
  {
  }

  /// The peers to send one to; called once in each interval. Peers that are no
  /// longer up are forgotten.
  std::vector<VmId> due(const std::set<VmId>& up,
                        const std::set<VmId>& close,
                        TimePoint now);
  /// Whether all peers are sent one each interval.
  bool isEachDue() const { return m_slots <= 1; }

  /// Within what time a peer that is sent a heartbeat now is sent the next.
  Duration promise(const VmId& peer, bool isClose, TimePoint now);

private:
  const Settings m_settings;
  /// Intervals in which each peer that isn't close has its turn.
  std::size_t m_slots = 1;
  /// Spreads the first turns.
  std::size_t m_newcomers = 0;
  std::map<VmId, TimePoint> m_promisedBy;
};

} // namespace cowslippin
