#pragma once

#include "machinelimits.h"

#include "libcore/core.h"

#include <map>

namespace cowslippin {

/// The maximum number of workers per shard in each zone: what the weakest of
/// the zone's daemons can hold, so that any of them can take any shard. All
/// daemons have to divide a zone alike, and every new division moves jobs. A
/// maximum therefore falls at once but rises only after it could have been
/// higher for a while, so that a weak daemon that restarts changes nothing.
class ShardSizeLimits
{
public:
  /// Updates the maximums. `smallestCapacity` is how many workers the weakest
  /// reachable daemon of each zone can hold. Returns true if some maximum has
  /// changed.
  bool update(const std::map<ZoneName, std::size_t>& smallestCapacity,
              TimePoint now);

  const std::map<ZoneName, std::size_t>& limits() const { return m_bounds; }

private:
  std::map<ZoneName, std::size_t> m_bounds;
  /// Since when all of a zone's daemons can hold more workers than the maximum.
  std::map<ZoneName, TimePoint> m_raisableSince;
};

} // namespace cowslippin
