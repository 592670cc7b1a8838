#include "shardtable.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace cowslippin {

namespace {

/// Rank of a candidate for a free shard; the lowest takes it. A daemon with
/// enough processor time goes first, then the one with the lowest load after
/// taking the shard, then the one on the fastest machine. A hash of shard and
/// daemon breaks ties.
using Rank = std::tuple<bool, double, int, std::size_t>;

/// Rank of a claim to a shard; the highest counts. A daemon that isn't leaving
/// goes before one that is, a daemon of the shard's zone before one of another
/// zone, then the higher token decides.
using ClaimRank = std::tuple<bool, bool, std::uint64_t>;

/// How much higher a daemon's load may be, after it has taken a shard of a
/// CPU-starved daemon, than that daemon's load was. Daemons on machines of the
/// same size that hold one shard each may take one another's.
constexpr double maxReliefFactor = 2;

/// How many times lower the load of a daemon on a larger machine must be, after
/// it has taken a shard, than that of the daemon that gives it: a shard that
/// moves ends runs, so that a small gain isn't worth it.
constexpr double minRebalanceGain = 2;

/// A hash that gives each daemon a different order of the shards.
std::size_t
orderHash(const ShardId& shard, const VmId& vm)
{
  return std::hash<std::string>()(shard.toString() + '|' + vm.value());
}

/// Number of shards relative to the number of tasks a second that a daemon can
/// start and follow.
double
load(std::size_t shards, std::size_t taskRate)
{
  return double(shards) / double(taskRate);
}

Rank
rank(const ShardId& shard,
     const VmId& vm,
     bool isCpuStarved,
     std::size_t shards,
     std::size_t taskRate,
     int slowness)
{
  return {
    isCpuStarved, load(shards + 1, taskRate), slowness, orderHash(shard, vm)
  };
}

} // namespace

ShardTable::ShardTable(VmId self,
                       ZoneName zone,
                       Settings settings,
                       TimePoint start)
  : m_self(std::move(self))
  , m_zone(std::move(zone))
  , m_settings(settings)
  , m_start(start)
  , m_lastHeardAt(start)
{
}

void
ShardTable::setShards(const std::set<ShardId>& shards)
{
  if (shards == m_shards)
    return;
  m_shards = shards;
  m_takeOrder.assign(shards.begin(), shards.end());
  std::sort(m_takeOrder.begin(),
            m_takeOrder.end(),
            [this](const ShardId& a, const ShardId& b) {
              return orderHash(a, m_self) < orderHash(b, m_self);
            });
}

bool
ShardTable::updateMember(const MemberView& member, TimePoint now)
{
  const MemberView* known = m_members.find(member.id);
  const bool isChanged = !known ||
                         known->workerCapacity != member.workerCapacity ||
                         known->zone != member.zone;
  m_members.put(member);
  for (const auto& [shard, token] : member.shards)
    m_lastTokens[shard] = token;
  m_lastHeardAt = now;
  m_zoneEmptySince.erase(member.zone);
  return isChanged;
}

void
ShardTable::removeMember(const VmId& id, TimePoint now)
{
  const MemberView* member = m_members.find(id);
  if (!member)
    return;
  const ZoneName zone = member->zone;
  m_members.erase(id);
  m_lastHeardAt = now;
  if (!m_members.hasActiveMember(zone))
    m_zoneEmptySince[zone] = now;
}

void
ShardTable::setPlatformHeartbeat(const ShardId& shard,
                                 const VmId& holder,
                                 TimePoint now)
{
  m_platformHeartbeats[shard] = { holder, now };
}

void
ShardTable::setLastHolder(const ShardId& shard, const VmId& holder)
{
  m_lastHolders[shard] = holder;
}

void
ShardTable::workerFenced(const ShardId& shard, TimePoint now)
{
  m_fencedAt[shard] = now;
}

bool
ShardTable::needsPlatformHeartbeats() const
{
  return isIsolated() ||
         std::any_of(m_shards.begin(), m_shards.end(), [&](const auto& shard) {
           return shard.zone() != m_zone &&
                  !m_members.hasActiveMember(shard.zone());
         });
}

std::map<ShardId, std::uint64_t>
ShardTable::shardsToProbe(TimePoint now) const
{
  std::map<ShardId, std::uint64_t> orphans;
  if (!m_isReady || m_isLeaving || !hasWaitedForOthers(now))
    return orphans;
  for (const ShardId& shard : m_shards) {
    const bool isOrphan = shard.zone() != m_zone &&
                          !m_members.hasActiveMember(shard.zone()) &&
                          !holder(shard);
    if (!isOrphan)
      continue;
    const auto token = m_lastTokens.find(shard);
    if (token != m_lastTokens.end() &&
        isBestCandidate(shard, m_held.size(), true))
      orphans.insert(*token);
  }
  return orphans;
}

void
ShardTable::setUnused(const ShardId& shard, TimePoint now)
{
  m_vacantAt[shard] = now;
}

ShardTable::Decisions
ShardTable::decide(TimePoint now) const
{
  Decisions decisions;
  for (const auto& [shard, token] : m_held) {
    if (mustRelease(shard, now))
      decisions.release.push_back(shard);
  }
  if (!mayTakeNow(now))
    return decisions;
  for (const ShardId& shard : m_takeOrder) {
    const std::size_t own = m_held.size() + decisions.take.size();
    if (m_held.count(shard) > 0 || !mayTake(shard, own, now))
      continue;
    decisions.take.push_back(shard);
    if (takesOneAtATime(now))
      break;
  }
  return decisions;
}

/// Whether other daemons may be starting at the same time as this one, so that
/// a shard of which no claim was heard may be claimed a moment later.
bool
ShardTable::takesOneAtATime(TimePoint now) const
{
  return hasJustStarted(now) && !hasHeardAll();
}

bool
ShardTable::mayTakeNow(TimePoint now) const
{
  return !takesOneAtATime(now) ||
         now - m_lastTakenAt >= m_settings.startupTakeInterval;
}

void
ShardTable::shardTaken(const ShardId& shard, std::uint64_t token, TimePoint now)
{
  m_lastTakenAt = now;
  m_held[shard] = token;
  m_fencedAt.erase(shard);
}

void
ShardTable::shardReleased(const ShardId& shard, TimePoint now)
{
  m_held.erase(shard);
  m_fencedAt.erase(shard);
  m_retakeAllowedAt[shard] = now + m_settings.retakeDelay;
}

void
ShardTable::shardRemoved(const ShardId& shard)
{
  m_held.erase(shard);
  m_fencedAt.erase(shard);
}

std::optional<VmId>
ShardTable::holder(const ShardId& shard) const
{
  std::optional<VmId> best;
  ClaimRank bestRank;
  const auto consider = [&](const VmId& vm, const ClaimRank& rank) {
    if (!best || rank > bestRank) {
      best = vm;
      bestRank = rank;
    }
  };
  const auto own = m_held.find(shard);
  if (own != m_held.end())
    consider(m_self, { !m_isLeaving, m_zone == shard.zone(), own->second });
  for (const auto& [vm, member] : m_members.claimants(shard))
    consider(member->id,
             { !member->isLeaving,
               member->zone == shard.zone(),
               member->shards.at(shard) });
  return best;
}

std::set<ShardId>
ShardTable::servedShards() const
{
  if (!m_shards.empty())
    return m_shards;
  std::set<ShardId> claimed;
  for (const auto& [vm, member] : m_members.all()) {
    for (const auto& [shard, token] : member.shards)
      claimed.insert(shard);
  }
  return claimed;
}

std::set<VmId>
ShardTable::holders() const
{
  std::set<VmId> all;
  for (const ShardId& shard : m_shards) {
    if (const auto vm = holder(shard))
      all.insert(*vm);
  }
  return all;
}

std::map<ZoneName, std::size_t>
ShardTable::smallestWorkerCapacities() const
{
  std::map<ZoneName, std::size_t> weakest = { { m_zone, m_workerCapacity } };
  for (const auto& [vm, member] : m_members.all()) {
    std::size_t& workerCapacity =
      weakest.try_emplace(member.zone, member.workerCapacity).first->second;
    workerCapacity = std::min(workerCapacity, member.workerCapacity);
  }
  return weakest;
}

bool
ShardTable::isIsolated() const
{
  return m_members.all().empty() && m_knownMembers > 0;
}

bool
ShardTable::hasHeardAll() const
{
  return m_knownMembers > 0 && m_members.all().size() >= m_knownMembers;
}

bool
ShardTable::hasWaitedForOthers(TimePoint now) const
{
  const Duration age = now - m_start;
  return age >= m_settings.maxStartupWait ||
         (hasHeardAll() && age >= m_settings.minStartupWait);
}

/// Whether a daemon that has just started needn't wait for daemons that it
/// hasn't heard: the shard's last holder is this daemon before its restart, or
/// is reachable and doesn't claim the shard, or all daemons were lost at once.
/// After such a loss the first shard is held 0.3 s sooner because of this.
bool
ShardTable::isKnownFree(const ShardId& shard, TimePoint now) const
{
  if (!hasJustStarted(now) || now - m_start < m_settings.connectWait)
    return false;
  if (haveAllJustStarted())
    return true;
  const auto last = m_lastHolders.find(shard);
  return last != m_lastHolders.end() &&
         (last->second == m_self || m_members.find(last->second) != nullptr);
}

bool
ShardTable::haveAllJustStarted() const
{
  return !m_members.all().empty() &&
         std::all_of(
           m_members.all().begin(),
           m_members.all().end(),
           [](const auto& item) { return item.second.hasJustStarted; });
}

bool
ShardTable::mustRelease(const ShardId& shard, TimePoint now) const
{
  const bool isOwnZone = m_zone == shard.zone();
  for (const auto& [vm, member] : m_members.claimants(shard)) {
    if (m_isLeaving != member->isLeaving) {
      // Of two holders, the one that isn't leaving keeps the shard.
      if (m_isLeaving)
        return true;
      continue;
    }
    const bool isTheirZone = member->zone == shard.zone();
    if (isTheirZone && !isOwnZone)
      return true;
    if (isTheirZone == isOwnZone && yieldsTo(*member, shard))
      return true;
  }
  // An isolated daemon that loses its workers is the one that is partitioned
  // off.
  const auto fenced = m_fencedAt.find(shard);
  return isIsolated() && fenced != m_fencedAt.end() &&
         now - fenced->second < m_settings.maxFencedAge;
}

/// Whether the other daemon keeps a shard that both hold.
bool
ShardTable::yieldsTo(const MemberView& member, const ShardId& shard) const
{
  if (member.isCpuStarved != m_isCpuStarved)
    return m_isCpuStarved;
  const double own = load(m_held.size(), m_taskRate);
  const double theirs = load(member.shards.size(), member.taskRate);
  if (own != theirs)
    return own > theirs;
  return member.shards.at(shard) > m_held.at(shard);
}

bool
ShardTable::mayTake(const ShardId& shard,
                    std::size_t ownShards,
                    TimePoint now) const
{
  // Without the full wait a daemon takes one shard only, so that the first
  // daemon that is back doesn't take the whole zone: on machines of 0.12 cores
  // that cost a large group of daemons 7 points of its score.
  const bool isInformed =
    hasWaitedForOthers(now) || (ownShards == 0 && isKnownFree(shard, now));
  if (!m_isReady || m_isLeaving || !isInformed)
    return false;
  const auto retake = m_retakeAllowedAt.find(shard);
  if (retake != m_retakeAllowedAt.end() && now < retake->second)
    return false;
  if (isKeptInZone(shard, ownShards, now))
    return false;
  const bool isForeign = m_zone != shard.zone();
  if (isForeign && isIsolated())
    return isVacant(shard, now);
  if (isIsolated()) {
    const bool hasWaited =
      now - m_lastHeardAt >= m_settings.isolatedTakeDelay ||
      isKnownFree(shard, now);
    return hasWaited && !hasFreshPlatformHeartbeat(shard, now);
  }
  if (!isForeign)
    return isBestCandidate(shard, ownShards, false);
  if (m_members.hasActiveMember(shard.zone()))
    return false;
  if (isZoneLeaving(shard) || isVacant(shard, now))
    return isBestCandidate(shard, ownShards, true);
  if (holder(shard))
    return false;
  const auto empty = m_zoneEmptySince.find(shard.zone());
  const TimePoint since =
    empty == m_zoneEmptySince.end() ? m_start : empty->second;
  const bool wasReadRecently =
    m_platformReadAt && now - *m_platformReadAt < m_settings.maxPlatformReadAge;
  return wasReadRecently && now - since >= m_settings.foreignTakeDelay &&
         !hasFreshPlatformHeartbeat(shard, now) &&
         isBestCandidate(shard, ownShards, true);
}

bool
ShardTable::isBestCandidate(const ShardId& shard,
                            std::size_t ownShards,
                            bool isForeign) const
{
  const Rank own =
    rank(shard, m_self, m_isCpuStarved, ownShards, m_taskRate, m_slowness);
  return std::none_of(
    m_members.all().begin(), m_members.all().end(), [&](const auto& item) {
      const MemberView& member = item.second;
      const bool isCandidate = !member.isLeaving && member.isReady &&
                               (isForeign || member.zone == shard.zone());
      return isCandidate && rank(shard,
                                 member.id,
                                 member.isCpuStarved,
                                 member.shards.size(),
                                 member.taskRate,
                                 member.slowness) < own;
    });
}

/// Whether a daemon of the zone holds the shard and keeps it. A daemon that is
/// short of processor time gives way to one that isn't, and one with a high
/// load to one with a low load.
bool
ShardTable::isKeptInZone(const ShardId& shard,
                         std::size_t ownShards,
                         TimePoint now) const
{
  const bool mayRebalance = !hasJustStarted(now) && !m_isCpuStarved &&
                            m_zone == shard.zone() &&
                            ownShards == m_held.size() &&
                            now - m_lastTakenAt >= m_settings.rebalanceInterval;
  const auto& claimants = m_members.claimants(shard);
  return std::any_of(claimants.begin(), claimants.end(), [&](const auto& item) {
    const MemberView& member = *item.second;
    const bool givesWay = member.isLeaving ||
                          (member.isCpuStarved && !m_isCpuStarved &&
                           canRelieve(member, ownShards)) ||
                          (mayRebalance && hasHigherLoad(member, ownShards));
    return !givesWay && member.zone == shard.zone();
  });
}

/// Whether this daemon can take a shard from a CPU-starved one without a load
/// far above the other's. Otherwise it would be starved next, and jobs would
/// move with the shard from daemon to daemon.
bool
ShardTable::canRelieve(const MemberView& member, std::size_t ownShards) const
{
  return load(ownShards + 1, m_taskRate) <=
         maxReliefFactor * load(member.shards.size(), member.taskRate);
}

/// Whether the other daemon's load is at least that of this one even after this
/// one has taken a shard from it, or whether this one is on a larger machine
/// that carries the shard far more easily. Without the latter, small machines
/// that have taken a shard each after the loss of a large one would keep them
/// when it is back.
bool
ShardTable::hasHigherLoad(const MemberView& member, std::size_t ownShards) const
{
  const double ownAfter = load(ownShards + 1, m_taskRate);
  const bool isOnLargerMachine = m_taskRate > member.taskRate;
  return load(member.shards.size() - 1, member.taskRate) >= ownAfter ||
         (isOnLargerMachine && load(member.shards.size(), member.taskRate) >=
                                 minRebalanceGain * ownAfter);
}

/// Whether all remaining daemons of the shard's zone are leaving and no daemon
/// that isn't leaving holds the shard. The leaving daemons are still heard, so
/// the zone isn't partitioned off, and there is nothing to wait for.
bool
ShardTable::isZoneLeaving(const ShardId& shard) const
{
  bool hasLeavingMember = false;
  for (const auto& [vm, member] : m_members.all()) {
    const bool isOfZone = member.zone == shard.zone();
    if (!member.isLeaving && (isOfZone || member.shards.count(shard) > 0))
      return false;
    hasLeavingMember = hasLeavingMember || isOfZone;
  }
  return hasLeavingMember;
}

bool
ShardTable::isVacant(const ShardId& shard, TimePoint now) const
{
  const auto vacant = m_vacantAt.find(shard);
  return vacant != m_vacantAt.end() && !holder(shard) &&
         now - vacant->second < m_settings.maxVacancyAge;
}

bool
ShardTable::hasFreshPlatformHeartbeat(const ShardId& shard, TimePoint now) const
{
  const auto beat = m_platformHeartbeats.find(shard);
  return beat != m_platformHeartbeats.end() && beat->second.first != m_self &&
         now - beat->second.second < m_settings.maxPlatformHeartbeatAge;
}

} // namespace cowslippin
