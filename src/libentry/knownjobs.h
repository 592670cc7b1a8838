#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// Jobs that callers of other daemons have had under way for a while, as those
/// daemons tell. A caller whose connection has broken may submit its job again
/// here before the other daemon knows that it is gone. It does no input or
/// output and reads no clock.
class KnownJobs
{
public:
  /// What is known of a job.
  struct Place
  {
    /// A daemon that can be asked to stop it; none if that was lost.
    std::optional<VmId> daemon;
    /// When whatever a lost daemon had of it is surely over.
    TimePoint overAt{};

    friend bool operator==(const Place& a, const Place& b)
    {
      return a.daemon == b.daemon && a.overAt == b.overAt;
    }
    friend bool operator!=(const Place& a, const Place& b) { return !(a == b); }
  };

  /// All such jobs of a daemon. Those that it told of before and that aren't
  /// among them are over.
  void told(const VmId& vm, const std::vector<LongJob>& jobs, TimePoint now);
  /// A daemon has nothing of a job any more.
  void over(const VmId& vm, const JobId& job);
  /// A daemon can't be reached any more.
  void lost(const VmId& vm, TimePoint now);

  /// Nothing if no other daemon can have it under way.
  std::optional<Place> find(const JobId& job, TimePoint now) const;

private:
  struct Peer
  {
    std::set<JobId> jobs;
    TimePoint heardAt{};
    std::optional<TimePoint> lostAt;
  };

  static TimePoint overAt(const Peer& peer);
  void leave(const Peer& peer);
  void expire(TimePoint now);

  std::map<VmId, Peer> m_peers;
  /// Jobs of daemons that were lost and came back, perhaps as new processes,
  /// and when whatever their earlier lives had of them is surely over.
  std::map<JobId, TimePoint> m_left;
};

} // namespace cowslippin
