#include "peerreports.h"

namespace cowslippin {

void
PeerReports::setZone(const VmId& vm, const ZoneName& zone)
{
  m_peers[vm].zone = zone;
}

ZoneName
PeerReports::zone(const VmId& vm) const
{
  const auto peer = m_peers.find(vm);
  return peer == m_peers.end() ? ZoneName() : peer->second.zone;
}

void
PeerReports::received(const VmId& vm, const PeerHeartbeat& beat, TimePoint now)
{
  Peer& peer = m_peers[vm];
  peer.reportedAt = now;
  peer.shards = beat.shards;
}

unsigned
PeerReports::freeSlots(const VmId& holder, const ShardId& shard) const
{
  const HeldShard* held = find(holder, shard);
  return held ? held->freeSlots : 0;
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
