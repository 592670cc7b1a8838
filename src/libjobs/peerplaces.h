#pragma once

#include "libcore/core.h"
#include "libcore/shardid.h"

#include <map>
#include <optional>

namespace cowslippin {

/// Free places on the shards of other holders, as they told last, less what has
/// been sent there since.
class PeerPlaces
{
public:
  /// A shard with places to give.
  struct Offer
  {
    VmId holder;
    ShardId shard;
    unsigned places = 0;
  };

  void set(const VmId& holder, const ShardId& shard, unsigned places);
  void forget(const VmId& holder);
  void forget(const ZoneName& zone);

  /// The shard that has most places to give, if any has one.
  std::optional<Offer> best() const;

  /// Counts a place of the shard as used. False if it has none to give.
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
