#include "peerplaces.h"

namespace cowslippin {

namespace {

/// Number of slots of a shard that are left to its holder for jobs of its own.
constexpr unsigned holdersReserve = 1;

} // namespace

void
PeerPlaces::set(const VmId& holder, const ShardId& shard, unsigned places)
{
  m_places[shard] = { holder, places };
}

void
PeerPlaces::forget(const VmId& holder)
{
  forgetIf([&](const ShardId&, const Places& places) {
    return places.holder == holder;
  });
}

void
PeerPlaces::forget(const ZoneName& zone)
{
  forgetIf(
    [&](const ShardId& shard, const Places&) { return shard.zone() == zone; });
}

std::optional<PeerPlaces::Offer>
PeerPlaces::best() const
{
  std::optional<Offer> best;
  unsigned most = holdersReserve;
  for (const auto& [shard, places] : m_places) {
    if (places.count > most) {
      most = places.count;
      best = Offer{ places.holder, shard, places.count };
    }
  }
  return best;
}

bool
PeerPlaces::take(const ShardId& shard)
{
  const auto found = m_places.find(shard);
  if (found == m_places.end() || found->second.count <= holdersReserve)
    return false;
  --found->second.count;
  return true;
}

} // namespace cowslippin
