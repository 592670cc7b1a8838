#pragma once

#include "memberindex.h"

#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// Decides which shards of workers this daemon holds, from what it hears of the
/// others. The workers themselves arbitrate by their fencing tokens: two
/// daemons that both believe to hold a shard can do no harm but to each other's
/// speed, so this table aims at few and quick changes, not at agreement.
///
/// Shards are spread over a zone's daemons by what each can hold: of two that
/// claim one the one that holds less keeps it, and a daemon that holds little
/// takes shards from one that holds more. After the loss of all daemons they
/// come back at different times, each hearing few of the others, and one alone
/// can't serve a zone.
///
/// A shard is held by a daemon of its own availability zone as long as one is
/// there. When the last of them leaves, one of another zone takes over at once:
/// waiting for the zone's next daemon left its workers unused for 3 s of each
/// restart. When the last is lost without a word, the shard's workers are asked
/// whether anybody uses them. It does no input or output and reads no clock.
class ShardTable
{
public:
  struct Settings
  {
    /// How long after its start a daemon waits at least for others to show up,
    /// so that it hears of shards that are held. Connecting takes some 20 ms.
    Duration settleTime = std::chrono::milliseconds(200);
    /// How long it waits for those that it knows of and has not heard: as long
    /// as one that has fallen silent is waited for. Daemons start within 300 ms
    /// of each other.
    Duration settleLimit = std::chrono::milliseconds(450);
    /// How long it waits before it takes a shard that nobody can hold: for the
    /// first connections, over which a living holder would be heard.
    Duration connectTime = std::chrono::milliseconds(60);
    /// How long after its start a daemon counts as new. Daemons that lose power
    /// together are back within half a second of each other.
    Duration newTime = std::chrono::seconds(1);
    /// Between two shards that a daemon takes while it is new and hasn't heard
    /// all others: their claims are heard in between.
    Duration takeInterval = std::chrono::milliseconds(150);
    /// Between two shards that it takes from others that hold more.
    Duration rebalanceInterval = std::chrono::milliseconds(500);
    /// How long a daemon that hears nobody, though it knows of others, waits
    /// before it takes a shard: it may be the one that is cut off.
    Duration isolatedWait = std::chrono::milliseconds(2500);
    /// How long a zone must be without a daemon before one of another zone
    /// takes its workers, if these can't be asked. Daemons that were killed are
    /// back within five seconds, and a zone that is cut off goes on by itself.
    Duration foreignWait = std::chrono::seconds(8);
    /// How long what a shard's workers have shown counts. They are asked each
    /// 120 ms.
    Duration vacancyLimit = std::chrono::milliseconds(250);
    /// A holder's heartbeat at the platform counts for this long. It sends one
    /// each second.
    Duration platformBeatLimit = std::chrono::milliseconds(2500);
    /// What was read at the platform counts for this long.
    Duration platformReadLimit = std::chrono::milliseconds(1500);
    /// How long being fenced counts for a daemon that hears nobody.
    Duration fencedLimit = std::chrono::seconds(1);
    /// How long a daemon keeps off a shard that it was driven from.
    Duration coolOff = std::chrono::seconds(3);
  };

  struct Decisions
  {
    std::vector<ShardId> take;
    std::vector<ShardId> release;
  };

  ShardTable(VmId self, ZoneName zone, Settings settings, TimePoint start);

  /// The shards into which the workers are divided.
  void setShards(const std::set<ShardId>& shards);
  /// Daemons that exist, whether or not they can be reached.
  void setKnownMembers(std::size_t count) { m_knownMembers = count; }
  /// True if it wasn't known how many workers the member can hold.
  bool memberSeen(const MemberView& member, TimePoint now);
  void memberGone(const VmId& id, TimePoint now);
  /// A holder's heartbeat was read at the platform.
  void platformBeat(const ShardId& shard, const VmId& holder, TimePoint now);
  /// Who took a shard or kept it last by what the platform has, however old
  /// that is.
  void lastHolderRead(const ShardId& shard, const VmId& holder);
  /// The holders' heartbeats at the platform were read.
  void platformRead(TimePoint now) { m_platformReadAt = now; }
  /// Whether the holders' heartbeats at the platform should be read often.
  bool needsPlatformReads() const;
  void setReady(bool isReady) { m_isReady = isReady; }
  void setLeaving() { m_isLeaving = true; }
  /// Whether this daemon has too little processor time for what it does.
  void setStrained(bool isStrained) { m_isStrained = isStrained; }
  /// How slow this machine is: the logarithm of what a fixed work takes.
  void setSlowness(int slowness) { m_slowness = slowness; }
  /// How many workers this daemon can hold.
  void setCarried(std::size_t carried) { m_carried = carried; }
  /// What the weakest daemon of each zone that can be heard can hold.
  std::map<ZoneName, std::size_t> weakestCarried() const;
  /// Shards of zones without a daemon that can be heard, with the token that
  /// their last holder told, whose workers this daemon is to ask whether
  /// anybody uses them.
  std::map<ShardId, std::uint64_t> orphans(TimePoint now) const;
  /// The shard's workers have shown that nobody uses them.
  void setVacant(const ShardId& shard, TimePoint now);
  /// Another daemon has taken a worker of a held shard.
  void fenced(const ShardId& shard, TimePoint now);

  Decisions decide(TimePoint now) const;
  void taken(const ShardId& shard, std::uint64_t token, TimePoint now);
  void released(const ShardId& shard, TimePoint now);
  /// The shard's workers are divided anew; it may be taken again at once.
  void dissolved(const ShardId& shard);

  /// Who holds a shard, this daemon included, as far as can be seen.
  std::optional<VmId> holder(const ShardId& shard) const;
  /// The shards that a job can go to: those into which the workers are divided
  /// or, as long as no list of workers was read, those that others say they
  /// hold.
  std::set<ShardId> servedShards() const;
  /// All who hold a shard and can be reached, this daemon included.
  std::set<VmId> holders() const;
  const std::map<ShardId, std::uint64_t>& held() const { return m_held; }
  const std::set<ShardId>& shards() const { return m_shards; }
  /// Whether others are heard and all of them are new: a daemon of before that
  /// lives would be heard as well.
  bool haveAllJustStarted() const;
  /// The other daemons that can be heard.
  const MemberIndex::Members& members() const { return m_members.all(); }
  /// Whether no other daemon can be reached though others exist.
  bool isIsolated() const;
  /// Whether this daemon has started only just now.
  bool isNew(TimePoint now) const { return now - m_start < m_settings.newTime; }

private:
  bool hasHeardAll() const;
  bool hasSettled(TimePoint now) const;
  bool takesOneAtATime(TimePoint now) const;
  bool mayTakeNow(TimePoint now) const;
  bool isKnownFree(const ShardId& shard, TimePoint now) const;
  bool mustRelease(const ShardId& shard, TimePoint now) const;
  bool mayTake(const ShardId& shard,
               std::size_t ownShards,
               TimePoint now) const;
  bool isFirst(const ShardId& shard,
               std::size_t ownShards,
               bool isForeign) const;
  bool hasZoneClaimant(const ShardId& shard,
                       std::size_t ownShards,
                       TimePoint now) const;
  bool holdsTooMany(const MemberView& member, std::size_t ownShards) const;
  bool yieldsTo(const MemberView& member, const ShardId& shard) const;
  bool isBeingLeft(const ShardId& shard) const;
  bool isVacant(const ShardId& shard, TimePoint now) const;
  bool isPlatformBeatFresh(const ShardId& shard, TimePoint now) const;

  const VmId m_self;
  const ZoneName m_zone;
  const Settings m_settings;
  const TimePoint m_start;
  std::size_t m_knownMembers = 0;
  std::set<ShardId> m_shards;
  /// The same in the order in which this daemon takes them, another for each,
  /// so that daemons which don't hear each other yet seldom take the same.
  std::vector<ShardId> m_preferred;
  MemberIndex m_members;
  std::map<ShardId, std::uint64_t> m_held;
  std::map<ShardId, TimePoint> m_fencedAt;
  std::map<ShardId, TimePoint> m_keptOffUntil;
  std::map<ShardId, std::pair<VmId, TimePoint>> m_platformBeats;
  std::map<ShardId, VmId> m_lastHolders;
  /// The tokens that holders have told last.
  std::map<ShardId, std::uint64_t> m_lastTokens;
  /// When workers have last shown that nobody uses them.
  std::map<ShardId, TimePoint> m_vacantAt;
  /// When a zone's last daemon was lost.
  std::map<ZoneName, TimePoint> m_zoneEmptySince;
  TimePoint m_lastHeard;
  TimePoint m_lastTakenAt{};
  std::optional<TimePoint> m_platformReadAt;
  bool m_isReady = false;
  bool m_isLeaving = false;
  bool m_isStrained = false;
  int m_slowness = 0;
  std::size_t m_carried = 1;
};

} // namespace cowslippin
