#include "peerreports.h"

#include <algorithm>

namespace cowslippin {

namespace {

bool
haveSameTokens(const std::map<ShardId, std::uint64_t>& tokens,
               const std::map<ShardId, HeldShard>& shards)
{
  return std::equal(tokens.begin(),
                    tokens.end(),
                    shards.begin(),
                    shards.end(),
                    [](const auto& known, const auto& held) {
                      return known.first == held.first &&
                             known.second == held.second.token;
                    });
}

} // namespace

void
PeerReports::setZone(const VmId& vm, const ZoneName& zone)
{
  m_peers[vm].member.zone = zone;
}

bool
PeerReports::received(const VmId& vm, const PeerHeartbeat& beat, TimePoint now)
{
  Peer& peer = m_peers[vm];
  peer.reportedAt = now;
  if (peer.shards != beat.shards)
    peer.shards = beat.shards;
  MemberView& member = peer.member;
  member.id = vm;
  member.isLeaving = beat.isLeaving;
  member.isReady = beat.isReady;
  member.isCpuStarved = beat.isCpuStarved;
  member.hasJustStarted = beat.hasJustStarted;
  member.slowness = beat.slowness;
  member.workerCapacity = beat.workerCapacity;
  member.taskRate = beat.taskRate;
  if (haveSameTokens(member.shards, beat.shards))
    return false;
  member.shards.clear();
  for (const auto& [shard, held] : beat.shards)
    member.shards[shard] = held.token;
  return true;
}

const MemberView&
PeerReports::member(const VmId& vm) const
{
  return m_peers.at(vm).member;
}

unsigned
PeerReports::freeSlots(const VmId& holder, const ShardId& shard) const
{
  const HeldShard* held = find(holder, shard);
  return held ? held->freeSlots : 0;
}

void
PeerReports::useSlots(const VmId& holder,
                      const ShardId& shard,
                      std::size_t count)
{
  const auto peer = m_peers.find(holder);
  if (peer == m_peers.end())
    return;
  const auto held = peer->second.shards.find(shard);
  if (held == peer->second.shards.end())
    return;
  unsigned& free = held->second.freeSlots;
  free -= static_cast<unsigned>(std::min<std::size_t>(count, free));
}

std::optional<Duration>
PeerReports::age(const VmId& vm, TimePoint now) const
{
  const auto peer = m_peers.find(vm);
  if (peer == m_peers.end() || !peer->second.reportedAt)
    return std::nullopt;
  return now - *peer->second.reportedAt;
}

std::optional<ShardDigest>
PeerReports::workersDigest(const VmId& holder, const ShardId& shard) const
{
  const HeldShard* held = find(holder, shard);
  if (held == nullptr)
    return std::nullopt;
  return held->workersDigest;
}

const HeldShard*
PeerReports::find(const VmId& holder, const ShardId& shard) const
{
  const auto peer = m_peers.find(holder);
  if (peer == m_peers.end())
    return nullptr;
  const auto held = peer->second.shards.find(shard);
  return held == peer->second.shards.end() ? nullptr : &held->second;
}

} // namespace cowslippin
