#pragma once

#include "libshards/shards.h"

#include <vector>

namespace cowslippin {

/// Who of a zone's daemons reads the platform's list of workers, and for whom.
///
/// It answers a fleet that grows: each worker renews its entry every second or
/// two, and what all daemons together would read grows as the square of the
/// fleet, up to what the platform can send. Two daemons of each zone read, the
/// fastest ones, and pass on to the others what has changed; one that hears of
/// no news for a while reads by itself. It does no input or output.
class DirectoryReaders
{
public:
  /// With one alone its loss would leave the others without news for as long as
  /// they wait before they read themselves.
  static constexpr std::size_t perZone = 2;

  /// `slowness`: see `MemberView`.
  DirectoryReaders(VmId self, ZoneName zone, int slowness);

  /// Whether this daemon reads for others.
  bool isReader(const MemberIndex::Members& members) const;
  /// The daemons to which it passes on what it reads; none if it isn't one that
  /// reads for others.
  std::vector<VmId> followers(const MemberIndex::Members& members) const;

private:
  /// The daemons of the zone, the one that reads first in front.
  std::vector<VmId> ranked(const MemberIndex::Members& members) const;

  const VmId m_self;
  const ZoneName m_zone;
  const int m_slowness;
};

} // namespace cowslippin
