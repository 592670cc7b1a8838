#include "peerslots.h"

#include <algorithm>
#include <utility>

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

bool
PeerSlots::hasOffer() const
{
  return std::any_of(m_slots.begin(), m_slots.end(), [](const auto& item) {
    return item.second.count > holderReservedSlots;
  });
}

std::optional<PeerSlots::Offer>
PeerSlots::bestOffer() const
{
  unsigned most = holderReservedSlots;
  const std::pair<const ShardId, Slots>* best = nullptr;
  for (const auto& item : m_slots) {
    if (item.second.count > most) {
      most = item.second.count;
      best = &item;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return Offer{ best->second.holder, best->first, best->second.count };
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
