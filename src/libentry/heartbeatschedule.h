#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace cowslippin {

/// Decides when each peer is sent a heartbeat, and within what time the next
/// one follows. It does no I/O and reads no clock.
///
/// If every daemon sent one to every other at a short interval, the cost for a
/// daemon would grow in proportion to the group. So the number of heartbeats
/// per interval is limited. Close peers, which share jobs with this daemon, get
/// one in every interval, because their loss has to be detected soon for the
/// callers of those jobs. The other peers take turns in what is left of the
/// limit.
class HeartbeatSchedule
{
public:
  struct Settings
  {
    /// Three heartbeats fit into the silence limit between close peers.
    Duration interval = std::chrono::milliseconds(140);
    /// Maximum number of heartbeats in one interval, unless there are more
    /// close peers than that. A group with no more peers than this sends one to
    /// each peer in each interval.
    std::size_t maxPerInterval = 49;
    /// Minimum number of peers that aren't close and are sent a heartbeat in
    /// one interval, however many peers are close.
    std::size_t minDistantPerInterval = 10;
  };

  explicit HeartbeatSchedule(Settings settings)
    : m_settings(settings)
  {
  }

  /// Returns the peers to send a heartbeat to. To be called once in each
  /// interval. Drops the state of peers that are no longer connected.
  std::vector<VmId> takeDuePeers(const std::set<VmId>& up,
                                 const std::set<VmId>& close,
                                 TimePoint now);
  /// Whether each peer is sent a heartbeat in each interval.
  bool sendsToEachPeer() const { return m_intervalsPerTurn <= 1; }

  /// Schedules the next heartbeat of a peer that is sent one now. Returns the
  /// time within which that next one is sent.
  Duration scheduleNext(const VmId& peer, bool isClose, TimePoint now);

private:
  const Settings m_settings;
  /// Number of intervals in which each peer that isn't close gets one
  /// heartbeat.
  std::size_t m_intervalsPerTurn = 1;
  /// Number of peers added so far. It spreads their first heartbeats over the
  /// intervals.
  std::size_t m_addedPeers = 0;
  std::map<VmId, TimePoint> m_nextDueAt;
};

} // namespace cowslippin
