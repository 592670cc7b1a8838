#pragma once

#include "libcore/core.h"
#include "libcore/shardid.h"

#include <map>
#include <optional>

namespace cowslippin {

/// Free slots on the shards of other holders: what the holders last advertised,
/// less what has been sent there since.
class PeerPlaces
{
public:
  /// A shard that has slots to offer.
  struct Offer
  {
    VmId holder;
    ShardId shard;
    unsigned places = 0;
  };

  void set(const VmId& holder, const ShardId& shard, unsigned places);
  void forget(const VmId& holder);
  void forget(const ZoneName& zone);

  /// Returns the shard that offers the most slots, if any shard offers one.
  std::optional<Offer> best() const;

  /// Counts one slot of the shard as used. Returns false if the shard offers
  /// none.
  bool take(const ShardId& shard);

private:
  struct Places
  {
    VmId holder;
    unsigned count = 0;
  };

  template<class Predicate>
  void forgetIf(Predicate mustForget)
  {
    for (auto place = m_places.begin(); place != m_places.end();) {
      if (mustForget(place->first, place->second))
        place = m_places.erase(place);
      else
        ++place;
    }
  }

  std::map<ShardId, Places> m_places;
};

} // namespace cowslippin
