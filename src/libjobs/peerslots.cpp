#include "peerslots.h"

namespace cowslippin {

namespace {

/// Number of slots of a shard that are left to its holder for jobs of its own.
constexpr unsigned holderReservedSlots = 1;

} // namespace

void
PeerSlots::set(const VmId& holder, const ShardId& shard, unsigned slots)
{
  m_slots[shard] = { holder, slots };
}

void
PeerSlots::forget(const VmId& holder)
{
  forgetIf(
    [&](const ShardId&, const Slots& slots) { return slots.holder == holder; });
}

void
PeerSlots::forget(const ZoneName& zone)
{
  forgetIf(
    [&](const ShardId& shard, const Slots&) { return shard.zone() == zone; });
}

std::optional<PeerSlots::Offer>
PeerSlots::bestOffer() const
{
  std::optional<Offer> best;
  unsigned most = holderReservedSlots;
  for (const auto& [shard, slots] : m_slots) {
    if (slots.count > most) {
      most = slots.count;
      best = Offer{ slots.holder, shard, slots.count };
    }
  }
  return best;
}

bool
PeerSlots::useSlot(const ShardId& shard)
{
  const auto found = m_slots.find(shard);
  if (found == m_slots.end() || found->second.count <= holderReservedSlots)
    return false;
  --found->second.count;
  return true;
}

} // namespace cowslippin
