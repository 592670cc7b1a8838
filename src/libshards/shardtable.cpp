#include "shardtable.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace cowslippin {

namespace {

/// Who takes a shard that is free: one that isn't strained if there is any,
/// then the one that would hold the fewest for what it can hold, then the one
/// on the fastest machine.
using Rank = std::tuple<bool, double, int, std::size_t>;

/// Whose claim to a shard counts: one that stays goes before one that leaves,
/// one of the shard's zone before another, then the higher token.
using ClaimRank = std::tuple<bool, bool, std::uint64_t>;

/// Differs from daemon to daemon.
std::size_t
spreadOf(const ShardId& shard, const VmId& vm)
{
  return std::hash<std::string>()(shard.toString() + '|' + vm.value());
}

/// How much a daemon has to do for what it can.
double
load(std::size_t shards, std::size_t carried)
{
  return double(shards) / double(carried);
}

Rank
rank(const ShardId& shard,
     const VmId& vm,
     bool isStrained,
     std::size_t shards,
     std::size_t carried,
     int slowness)
{
  return {
    isStrained, load(shards + 1, carried), slowness, spreadOf(shard, vm)
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
  , m_lastHeard(start)
{
}

void
ShardTable::setShards(const std::set<ShardId>& shards)
{
  if (shards == m_shards)
    return;
  m_shards = shards;
  m_preferred.assign(shards.begin(), shards.end());
  std::sort(m_preferred.begin(),
            m_preferred.end(),
            [this](const ShardId& a, const ShardId& b) {
              return spreadOf(a, m_self) < spreadOf(b, m_self);
            });
}

bool
ShardTable::memberSeen(const MemberView& member, TimePoint now)
{
  const MemberView* known = m_members.find(member.id);
  const bool isSizeNew =
    !known || known->carried != member.carried || known->zone != member.zone;
  m_members.put(member);
  for (const auto& [shard, token] : member.shards)
    m_lastTokens[shard] = token;
  m_lastHeard = now;
  m_zoneEmptySince.erase(member.zone);
  return isSizeNew;
}

void
ShardTable::memberGone(const VmId& id, TimePoint now)
{
  const MemberView* member = m_members.find(id);
  if (!member)
    return;
  const ZoneName zone = member->zone;
  m_members.erase(id);
  m_lastHeard = now;
  if (!m_members.hasZone(zone))
    m_zoneEmptySince[zone] = now;
}

void
ShardTable::platformBeat(const ShardId& shard,
                         const VmId& holder,
                         TimePoint now)
{
  m_platformBeats[shard] = { holder, now };
}

void
ShardTable::lastHolderRead(const ShardId& shard, const VmId& holder)
{
  m_lastHolders[shard] = holder;
}

void
ShardTable::fenced(const ShardId& shard, TimePoint now)
{
  m_fencedAt[shard] = now;
}

bool
ShardTable::needsPlatformReads() const
{
  return isIsolated() ||
         std::any_of(m_shards.begin(), m_shards.end(), [&](const auto& shard) {
           return shard.zone() != m_zone && !m_members.hasZone(shard.zone());
         });
}

std::map<ShardId, std::uint64_t>
ShardTable::orphans(TimePoint now) const
{
  std::map<ShardId, std::uint64_t> orphans;
  if (!m_isReady || m_isLeaving || !hasSettled(now))
    return orphans;
  for (const ShardId& shard : m_shards) {
    const auto token = m_lastTokens.find(shard);
    const bool isOrphan = shard.zone() != m_zone &&
                          !m_members.hasZone(shard.zone()) && !holder(shard);
    if (isOrphan && token != m_lastTokens.end() &&
        isFirst(shard, m_held.size(), true))
      orphans.insert(*token);
  }
  return orphans;
}

void
ShardTable::setVacant(const ShardId& shard, TimePoint now)
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
  for (const ShardId& shard : m_preferred) {
    const std::size_t own = m_held.size() + decisions.take.size();
    if (m_held.count(shard) > 0 || !mayTake(shard, own, now))
      continue;
    decisions.take.push_back(shard);
    if (takesOneAtATime(now))
      break;
  }
  return decisions;
}

/// Whether others may be starting just as this daemon is, so that what it
/// hasn't heard of may still be theirs in a moment.
bool
ShardTable::takesOneAtATime(TimePoint now) const
{
  return isNew(now) && !hasHeardAll();
}

bool
ShardTable::mayTakeNow(TimePoint now) const
{
  return !takesOneAtATime(now) ||
         now - m_lastTakenAt >= m_settings.takeInterval;
}

void
ShardTable::taken(const ShardId& shard, std::uint64_t token, TimePoint now)
{
  m_lastTakenAt = now;
  m_held[shard] = token;
  m_fencedAt.erase(shard);
}

void
ShardTable::released(const ShardId& shard, TimePoint now)
{
  m_held.erase(shard);
  m_fencedAt.erase(shard);
  m_keptOffUntil[shard] = now + m_settings.coolOff;
}

void
ShardTable::dissolved(const ShardId& shard)
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
ShardTable::weakestCarried() const
{
  std::map<ZoneName, std::size_t> weakest = { { m_zone, m_carried } };
  for (const auto& [vm, member] : m_members.all()) {
    std::size_t& carried =
      weakest.try_emplace(member.zone, member.carried).first->second;
    carried = std::min(carried, member.carried);
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
ShardTable::hasSettled(TimePoint now) const
{
  const Duration age = now - m_start;
  return age >= m_settings.settleLimit ||
         (hasHeardAll() && age >= m_settings.settleTime);
}

/// Whether a daemon that has just started needn't wait for those it hasn't
/// heard: the shard's last holder is this daemon's earlier life, or is here and
/// doesn't claim it, or all daemons were lost at once. After such a loss this
/// brings the first shard back 0.3 s sooner.
bool
ShardTable::isKnownFree(const ShardId& shard, TimePoint now) const
{
  if (!isNew(now) || now - m_start < m_settings.connectTime)
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
         std::all_of(m_members.all().begin(),
                     m_members.all().end(),
                     [](const auto& item) { return item.second.isNew; });
}

bool
ShardTable::mustRelease(const ShardId& shard, TimePoint now) const
{
  const bool isOwnZone = m_zone == shard.zone();
  for (const auto& [vm, member] : m_members.claimants(shard)) {
    if (m_isLeaving != member->isLeaving) {
      // The one that stays goes on.
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
  // One that hears nobody and loses its workers is the one that is cut off.
  const auto fenced = m_fencedAt.find(shard);
  return isIsolated() && fenced != m_fencedAt.end() &&
         now - fenced->second < m_settings.fencedLimit;
}

/// Whether another daemon keeps a shard that both hold.
bool
ShardTable::yieldsTo(const MemberView& member, const ShardId& shard) const
{
  if (member.isStrained != m_isStrained)
    return m_isStrained;
  const double own = load(m_held.size(), m_carried);
  const double theirs = load(member.shards.size(), member.carried);
  if (own != theirs)
    return own > theirs;
  return member.shards.at(shard) > m_held.at(shard);
}

bool
ShardTable::mayTake(const ShardId& shard,
                    std::size_t ownShards,
                    TimePoint now) const
{
  // One shard at once, so that the first that is back doesn't take the whole
  // zone: on machines of 0.12 cores that cost a grown group 7 points of worth.
  const bool isInformed =
    hasSettled(now) || (ownShards == 0 && isKnownFree(shard, now));
  if (!m_isReady || m_isLeaving || !isInformed)
    return false;
  const auto keptOff = m_keptOffUntil.find(shard);
  if (keptOff != m_keptOffUntil.end() && now < keptOff->second)
    return false;
  if (hasZoneClaimant(shard, ownShards, now))
    return false;
  const bool isForeign = m_zone != shard.zone();
  if (isForeign && isIsolated())
    return isVacant(shard, now);
  if (isIsolated()) {
    const bool hasWaited =
      now - m_lastHeard >= m_settings.isolatedWait || isKnownFree(shard, now);
    return hasWaited && !isPlatformBeatFresh(shard, now);
  }
  if (!isForeign)
    return isFirst(shard, ownShards, false);
  if (m_members.hasZone(shard.zone()))
    return false;
  if (isBeingLeft(shard) || isVacant(shard, now))
    return isFirst(shard, ownShards, true);
  if (holder(shard))
    return false;
  const auto empty = m_zoneEmptySince.find(shard.zone());
  const TimePoint since =
    empty == m_zoneEmptySince.end() ? m_start : empty->second;
  const bool isReadLately =
    m_platformReadAt && now - *m_platformReadAt < m_settings.platformReadLimit;
  return isReadLately && now - since >= m_settings.foreignWait &&
         !isPlatformBeatFresh(shard, now) && isFirst(shard, ownShards, true);
}

bool
ShardTable::isFirst(const ShardId& shard,
                    std::size_t ownShards,
                    bool isForeign) const
{
  const Rank own =
    rank(shard, m_self, m_isStrained, ownShards, m_carried, m_slowness);
  return std::none_of(
    m_members.all().begin(), m_members.all().end(), [&](const auto& item) {
      const MemberView& member = item.second;
      const bool isCandidate = !member.isLeaving && member.isReady &&
                               (isForeign || member.zone == shard.zone());
      return isCandidate && rank(shard,
                                 member.id,
                                 member.isStrained,
                                 member.shards.size(),
                                 member.carried,
                                 member.slowness) < own;
    });
}

/// Whether a daemon of the zone has the shard and keeps it. One that is
/// strained gives way to one that isn't, and one that holds many to one that
/// holds few.
bool
ShardTable::hasZoneClaimant(const ShardId& shard,
                            std::size_t ownShards,
                            TimePoint now) const
{
  const bool mayRebalance = !isNew(now) && !m_isStrained &&
                            m_zone == shard.zone() &&
                            ownShards == m_held.size() &&
                            now - m_lastTakenAt >= m_settings.rebalanceInterval;
  const auto& claimants = m_members.claimants(shard);
  return std::any_of(claimants.begin(), claimants.end(), [&](const auto& item) {
    const MemberView& member = *item.second;
    const bool givesWay = member.isLeaving ||
                          (member.isStrained && !m_isStrained) ||
                          (mayRebalance && holdsTooMany(member, ownShards));
    return !givesWay && member.zone == shard.zone();
  });
}

/// Whether the other daemon has no less to do than this one even when this one
/// has taken a shard from it.
bool
ShardTable::holdsTooMany(const MemberView& member, std::size_t ownShards) const
{
  return load(member.shards.size() - 1, member.carried) >=
         load(ownShards + 1, m_carried);
}

/// Whether those that are left of the shard's zone say that they leave, and
/// nobody who stays has the shard. They are heard, so that the zone isn't cut
/// off, and there is nothing to wait for.
bool
ShardTable::isBeingLeft(const ShardId& shard) const
{
  bool isLeft = false;
  for (const auto& [vm, member] : m_members.all()) {
    const bool isOfZone = member.zone == shard.zone();
    if (!member.isLeaving && (isOfZone || member.shards.count(shard) > 0))
      return false;
    isLeft = isLeft || isOfZone;
  }
  return isLeft;
}

bool
ShardTable::isVacant(const ShardId& shard, TimePoint now) const
{
  const auto vacant = m_vacantAt.find(shard);
  return vacant != m_vacantAt.end() && !holder(shard) &&
         now - vacant->second < m_settings.vacancyLimit;
}

bool
ShardTable::isPlatformBeatFresh(const ShardId& shard, TimePoint now) const
{
  const auto beat = m_platformBeats.find(shard);
  return beat != m_platformBeats.end() && beat->second.first != m_self &&
         now - beat->second.second < m_settings.platformBeatLimit;
}

} // namespace cowslippin
