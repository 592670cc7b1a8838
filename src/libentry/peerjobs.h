#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// The long-running jobs that peers advertise as in progress for their callers.
/// A caller whose connection has broken may submit its job again here before
/// the other daemon notices that the caller is gone. The class does no I/O and
/// reads no clock.
class PeerJobs
{
public:
  /// Where a job is in progress.
  struct Location
  {
    /// The daemon that has the job and can be asked to stop it. Empty if that
    /// daemon was lost.
    std::optional<VmId> daemon;
    /// When all runs that the lost daemon left have ended.
    TimePoint orphansEndAt{};

    friend bool operator==(const Location& a, const Location& b)
    {
      return a.daemon == b.daemon && a.orphansEndAt == b.orphansEndAt;
    }
    friend bool operator!=(const Location& a, const Location& b)
    {
      return !(a == b);
    }
  };

  /// A peer advertises all its long-running jobs. Jobs that it advertised
  /// before and that are missing now have ended.
  void update(const VmId& vm,
              const std::vector<LongRunningJob>& jobs,
              TimePoint now);
  /// A peer has no runs of a job any more.
  void ended(const VmId& vm, const JobId& job);
  /// A peer can no longer be reached.
  void peerLost(const VmId& vm, TimePoint now);

  /// Returns where a job is in progress; nothing if no other daemon can have
  /// it.
  std::optional<Location> find(const JobId& job, TimePoint now) const;

private:
  struct Peer
  {
    std::set<JobId> jobs;
    TimePoint reportedAt{};
    std::optional<TimePoint> lostAt;
  };

  static TimePoint orphansEndAt(const Peer& peer);
  void keepOrphans(const Peer& peer);
  void expire(TimePoint now);
  void expireLostPeers(TimePoint now);

  std::map<VmId, Peer> m_peers;
  /// The number of peers that were lost and aren't back, so that a heartbeat
  /// doesn't have to look at all peers for one whose runs have ended.
  std::size_t m_lostPeers = 0;
  /// Jobs of peers that were lost and came back, perhaps as new processes, and
  /// the time by which all runs from before the loss have ended.
  std::map<JobId, TimePoint> m_orphanedUntil;
};

} // namespace cowslippin
