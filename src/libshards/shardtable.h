#pragma once

#include "memberindex.h"

#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// Decides which shards of workers this daemon holds, from the heartbeats of
/// the other daemons. Two daemons that both believe they hold a shard do no
/// damage, because the workers enforce fencing tokens; they only slow each
/// other down. The table therefore aims at few and quick changes rather than at
/// agreement.
///
/// The shards of an availability zone are spread over its daemons by how many
/// tasks a second each daemon can start and follow. If two daemons claim the
/// same shard, the one with the lower load keeps it, and a daemon with a low
/// load takes shards from one with a high load. After the loss of all daemons
/// they restart at different times and each hears few of the others at first; a
/// single daemon can't serve a whole zone.
///
/// A shard is held by a daemon of its own zone as long as the zone has one.
/// When the zone's last daemon leaves, a daemon of another zone takes over at
/// once: waiting for the zone's next daemon left its workers unused for 3 s of
/// each restart. When the last daemon is lost without leaving, the shard's
/// workers are asked whether any daemon uses them. The class does no input or
/// output and reads no clock.
class ShardTable
{
public:
  struct Settings
  {
    /// Least time that a daemon waits after its start for other daemons, so
    /// that it learns which shards are held. Connecting takes about 20 ms.
    Duration minStartupWait = std::chrono::milliseconds(200);
    /// Longest time that a daemon waits after its start for known daemons that
    /// it hasn't heard: as long as a silent daemon is waited for. Daemons start
    /// within 300 ms of each other.
    Duration maxStartupWait = std::chrono::milliseconds(450);
    /// How long after its start a daemon waits before it takes a shard that no
    /// other daemon can hold: time for the first connections, over which a live
    /// holder would be heard.
    Duration connectWait = std::chrono::milliseconds(60);
    /// How long after its start a daemon counts as new. Daemons that lose power
    /// together are back within half a second of each other.
    Duration newDaemonAge = std::chrono::seconds(1);
    /// Interval between two shards that a daemon takes while it is new and
    /// hasn't heard all others, so that it hears their claims in between.
    Duration startupTakeInterval = std::chrono::milliseconds(150);
    /// Interval between two shards that a daemon takes from daemons with a
    /// higher load.
    Duration rebalanceInterval = std::chrono::milliseconds(500);
    /// How long a daemon that hears no other daemon, though it knows of some,
    /// waits before it takes a shard: it may be the one that is partitioned
    /// off.
    Duration isolatedTakeDelay = std::chrono::milliseconds(2500);
    /// How long a zone must be without a daemon before a daemon of another zone
    /// takes its workers, if the workers can't be asked. Daemons that were
    /// killed are back within five seconds, and a zone that is partitioned off
    /// continues on its own.
    Duration foreignTakeDelay = std::chrono::seconds(8);
    /// How long the workers' report that no daemon uses them is valid. They are
    /// asked every 120 ms.
    Duration maxVacancyAge = std::chrono::milliseconds(250);
    /// How long a holder's heartbeat at the platform is valid. A holder sends
    /// one every second.
    Duration maxPlatformHeartbeatAge = std::chrono::milliseconds(2500);
    /// How long a read of the heartbeats at the platform is valid.
    Duration maxPlatformReadAge = std::chrono::milliseconds(1500);
    /// How long after a worker was fenced an isolated daemon releases the
    /// worker's shard.
    Duration maxFencedAge = std::chrono::seconds(1);
    /// How long a daemon doesn't take a shard again after it had to release it.
    Duration retakeDelay = std::chrono::seconds(3);
  };

  struct Decisions
  {
    std::vector<ShardId> take;
    std::vector<ShardId> release;
  };

  ShardTable(VmId self, ZoneName zone, Settings settings, TimePoint start);

  /// Sets the shards into which the workers are divided.
  void setShards(const std::set<ShardId>& shards);
  /// Sets how many other daemons exist, whether or not they can be reached.
  void setKnownMemberCount(std::size_t count) { m_knownMembers = count; }
  /// Processes the heartbeat of a member. Returns whether the member is new or
  /// has changed its zone or the number of workers that it can hold.
  bool updateMember(const MemberView& member, TimePoint now);
  /// Records that a member can no longer be reached.
  void removeMember(const VmId& id, TimePoint now);
  /// Records a holder's heartbeat that was read at the platform.
  void setPlatformHeartbeat(const ShardId& shard,
                            const VmId& holder,
                            TimePoint now);
  /// Records the last holder of a shard according to the platform, however old
  /// that entry is.
  void setLastHolder(const ShardId& shard, const VmId& holder);
  /// Records that the holders' heartbeats at the platform were read.
  void platformHeartbeatsRead(TimePoint now) { m_platformReadAt = now; }
  /// Whether the holders' heartbeats at the platform should be read often.
  bool needsPlatformHeartbeats() const;
  /// Sets whether this daemon has a configuration and a list of workers.
  void setReady(bool isReady) { m_isReady = isReady; }
  /// Records that this daemon is shutting down. It takes no shards any more.
  void setLeaving() { m_isLeaving = true; }
  /// Sets whether this daemon gets too little processor time for its work.
  void setCpuStarved(bool isCpuStarved) { m_isCpuStarved = isCpuStarved; }
  /// Sets how slow this machine is: the logarithm of the time that a fixed
  /// amount of work takes.
  void setSlowness(int slowness) { m_slowness = slowness; }
  /// Sets how many workers this daemon can hold.
  void setWorkerCapacity(std::size_t workerCapacity)
  {
    m_workerCapacity = workerCapacity;
  }
  /// Sets how many tasks a second this daemon can start and follow.
  void setTaskRate(std::size_t taskRate) { m_taskRate = taskRate; }
  /// For each zone, the lowest number of workers that any reachable daemon of
  /// the zone, this daemon included, can hold.
  std::map<ZoneName, std::size_t> smallestWorkerCapacities() const;
  /// Shards of zones without a reachable daemon whose workers this daemon has
  /// to ask whether any daemon uses them. Each comes with the fencing token
  /// that its last holder reported.
  std::map<ShardId, std::uint64_t> shardsToProbe(TimePoint now) const;
  /// Records that no daemon uses the shard's workers, as they have reported.
  void setUnused(const ShardId& shard, TimePoint now);
  /// Records that another daemon has claimed a worker of a shard that this
  /// daemon holds.
  void workerFenced(const ShardId& shard, TimePoint now);

  /// The shards that this daemon has to take and to release now. The caller
  /// carries the decisions out and calls `shardTaken` and `shardReleased`.
  Decisions decide(TimePoint now) const;
  void shardTaken(const ShardId& shard, std::uint64_t token, TimePoint now);
  /// Removes a held shard, which isn't taken again for `retakeDelay`.
  void shardReleased(const ShardId& shard, TimePoint now);
  /// Removes a held shard because the workers are divided into other shards.
  /// Unlike a released shard, it may be taken again at once.
  void shardRemoved(const ShardId& shard);

  /// The holder of a shard, possibly this daemon, as far as can be seen.
  std::optional<VmId> holder(const ShardId& shard) const;
  /// The shards that a job can be sent to: those into which the workers are
  /// divided or, until a list of workers was read, those that other daemons
  /// claim to hold.
  std::set<ShardId> servedShards() const;
  /// All reachable daemons that hold a shard, this daemon included.
  std::set<VmId> holders() const;
  const std::map<ShardId, std::uint64_t>& heldShards() const { return m_held; }
  const std::set<ShardId>& shards() const { return m_shards; }
  /// Whether other daemons are heard and all of them are new. A live daemon
  /// that had started earlier would be heard as well.
  bool haveAllJustStarted() const;
  /// The other daemons that can be reached.
  const MemberIndex::Members& members() const { return m_members.all(); }
  /// Whether no other daemon can be reached although others exist.
  bool isIsolated() const;
  /// Whether this daemon started less than `newDaemonAge` ago.
  bool hasJustStarted(TimePoint now) const
  {
    return now - m_start < m_settings.newDaemonAge;
  }

private:
  bool hasHeardAll() const;
  bool hasWaitedForOthers(TimePoint now) const;
  bool takesOneAtATime(TimePoint now) const;
  bool mayTakeNow(TimePoint now) const;
  bool isKnownFree(const ShardId& shard, TimePoint now) const;
  bool mustRelease(const ShardId& shard, TimePoint now) const;
  bool mayTake(const ShardId& shard,
               std::size_t ownShards,
               TimePoint now) const;
  bool isBestCandidate(const ShardId& shard,
                       std::size_t ownShards,
                       bool isForeign) const;
  bool isKeptInZone(const ShardId& shard,
                    std::size_t ownShards,
                    TimePoint now) const;
  bool canRelieve(const MemberView& member, std::size_t ownShards) const;
  bool hasHigherLoad(const MemberView& member, std::size_t ownShards) const;
  bool yieldsTo(const MemberView& member, const ShardId& shard) const;
  bool isZoneLeaving(const ShardId& shard) const;
  bool isVacant(const ShardId& shard, TimePoint now) const;
  bool hasFreshPlatformHeartbeat(const ShardId& shard, TimePoint now) const;

  const VmId m_self;
  const ZoneName m_zone;
  const Settings m_settings;
  const TimePoint m_start;
  std::size_t m_knownMembers = 0;
  std::set<ShardId> m_shards;
  /// The same shards in the order in which this daemon takes them. Each daemon
  /// has a different order, so that daemons that don't hear each other yet
  /// seldom take the same shard.
  std::vector<ShardId> m_takeOrder;
  MemberIndex m_members;
  std::map<ShardId, std::uint64_t> m_held;
  std::map<ShardId, TimePoint> m_fencedAt;
  std::map<ShardId, TimePoint> m_retakeAllowedAt;
  std::map<ShardId, std::pair<VmId, TimePoint>> m_platformHeartbeats;
  std::map<ShardId, VmId> m_lastHolders;
  /// The fencing token that the holder of each shard reported last.
  std::map<ShardId, std::uint64_t> m_lastTokens;
  /// When the workers of each shard last reported that no daemon uses them.
  std::map<ShardId, TimePoint> m_vacantAt;
  /// When the last daemon of each zone was lost.
  std::map<ZoneName, TimePoint> m_zoneEmptySince;
  TimePoint m_lastHeardAt;
  TimePoint m_lastTakenAt{};
  std::optional<TimePoint> m_platformReadAt;
  bool m_isReady = false;
  bool m_isLeaving = false;
  bool m_isCpuStarved = false;
  int m_slowness = 0;
  std::size_t m_workerCapacity = 1;
  std::size_t m_taskRate = 1;
};

} // namespace cowslippin
