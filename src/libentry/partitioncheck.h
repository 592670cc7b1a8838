#pragma once

#include "libcore/clock.h"

#include <deque>
#include <functional>
#include <optional>

namespace cowslippin {

/// Decides how long a request waits at a daemon that may be in the smaller part
/// of a partitioned group.
///
/// When a partition ends, requests that were held up on their way may be read
/// before the other daemons, where the callers may have submitted their jobs
/// again, are connected. So a job starts there only if an attempt to reach the
/// missing daemons, made after the request was read, got no answer. The class
/// does no I/O and reads no clock.
class PartitionCheck
{
public:
  /// The function starts an attempt to reach some of the missing daemons.
  explicit PartitionCheck(std::function<void()> probe);

  /// Until when a request that was read at the given time has to wait; nothing
  /// if it needn't. Starts an attempt if one is due.
  std::optional<TimePoint> waitUntil(TimePoint readAt, TimePoint now);
  /// An attempt has reached a missing daemon. Returns whether that is new. A
  /// suspended process can be reached too, so the daemon has to connect soon,
  /// or such answers don't count for a while.
  bool peerReached(TimePoint now);
  /// A missing daemon has connected.
  void peerConnected(TimePoint now);

private:
  bool areDaemonsConnecting(TimePoint now) const;

  const std::function<void()> m_probe;
  /// When the latest attempts were started, the oldest first.
  std::deque<TimePoint> m_probes;
  std::optional<TimePoint> m_unansweredSince;
  /// When a missing daemon was first reached, and when one connected last.
  std::optional<TimePoint> m_reachedAt;
  std::optional<TimePoint> m_connectedAt;
};

} // namespace cowslippin
