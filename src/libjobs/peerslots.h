#pragma once

#include "libcore/core.h"
#include "libcore/shardid.h"

#include <map>
#include <optional>

namespace cowslippin {

/// Free slots on the shards of other holders: what the holders last advertised,
/// less what has been sent there since.
class PeerSlots
{
public:
  /// A shard that has slots to offer.
  struct Offer
  {
    VmId holder;
    ShardId shard;
    unsigned slots = 0;
  };

  void set(const VmId& holder, const ShardId& shard, unsigned slots);
  void forget(const VmId& holder);
  void forget(const ZoneName& zone);

  /// Whether any shard offers a slot.
  bool hasOffer() const;
  /// Returns the shard that offers the most slots, if any shard offers one.
  std::optional<Offer> bestOffer() const;

  /// Counts one slot of the shard as used. Returns false if the shard offers
  /// none.
  bool useSlot(const ShardId& shard);

private:
  struct Slots
  {
    VmId holder;
    unsigned count = 0;
  };

  template<class Predicate>
  void forgetIf(Predicate mustForget)
  {
    for (auto entry = m_slots.begin(); entry != m_slots.end();) {
      if (mustForget(entry->first, entry->second))
        entry = m_slots.erase(entry);
      else
        ++entry;
    }
  }

  std::map<ShardId, Slots> m_slots;
};

} // namespace cowslippin
