#pragma once

#include "carriedworkers.h"

#include "libcore/core.h"

#include <map>

namespace cowslippin {

/// How many workers a shard of each zone may have: as many as the weakest of
/// the zone's daemons can hold, so that any of them can take any shard. All
/// daemons have to divide a zone alike, and each division anew moves jobs: a
/// bound falls at once and rises only when it has been higher for a while, so
/// that a weak daemon that restarts changes nothing.
class ShardSizes
{
public:
  /// What the weakest daemon of each zone that can be heard can hold. True if
  /// some bound has changed.
  bool update(const std::map<ZoneName, std::size_t>& weakest, TimePoint now);

  const std::map<ZoneName, std::size_t>& bounds() const { return m_bounds; }

private:
  std::map<ZoneName, std::size_t> m_bounds;
  /// Since when all of a zone's daemons can hold more than its bound.
  std::map<ZoneName, TimePoint> m_higherSince;
};

} // namespace cowslippin
