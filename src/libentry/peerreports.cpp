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
PeerReports::received(const VmId& vm, const PeerBeat& beat, TimePoint now)
{
  Peer& peer = m_peers[vm];
  peer.reportedAt = now;
  peer.places.clear();
  for (const auto& [shard, held] : beat.shards) {
    peer.places[shard] = held.places;
    m_holdersWorkers[shard] = held.workers;
  }
}

unsigned
PeerReports::places(const VmId& holder, const ShardId& shard) const
{
  const auto peer = m_peers.find(holder);
  if (peer == m_peers.end())
    return 0;
  const auto places = peer->second.places.find(shard);
  return places == peer->second.places.end() ? 0 : places->second;
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
PeerReports::lastHoldersWorkers(const ShardId& shard) const
{
  const auto workers = m_holdersWorkers.find(shard);
  if (workers == m_holdersWorkers.end())
    return std::nullopt;
  return workers->second;
}

void
PeerReports::keepWorkersOf(const std::set<ShardId>& shards)
{
  for (auto told = m_holdersWorkers.begin(); told != m_holdersWorkers.end();) {
    if (shards.count(told->first) == 0)
      told = m_holdersWorkers.erase(told);
    else
      ++told;
  }
}

} // namespace cowslippin
