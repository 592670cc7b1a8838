#pragma once

#include "libshards/shards.h"

#include <vector>

namespace cowslippin {

/// Chooses the daemons of a zone that read the platform's list of workers for
/// the others.
///
/// Each worker renews its entry every second or two. If all daemons read them
/// all, the traffic would grow as the square of the fleet, up to what the
/// platform can send. So the two fastest daemons of each zone read the list and
/// forward its changes to the others. A daemon that receives no changes for
/// some time reads the list itself. The class does no I/O.
class WorkerListReaders
{
public:
  /// If there were only one reader, its loss would leave the others without
  /// changes for as long as they wait before they read the list themselves.
  static constexpr std::size_t perZone = 2;

  /// `slowness`: see `MemberView`.
  WorkerListReaders(VmId self, ZoneName zone, int slowness);

  /// Whether this daemon is one of the readers.
  bool isReader(const MemberIndex::Members& members) const;
  /// The daemons to which this daemon forwards changes; none if it isn't a
  /// reader.
  std::vector<VmId> followers(const MemberIndex::Members& members) const;

private:
  /// The daemons of the zone, the fastest first.
  std::vector<VmId> rankedDaemons(const MemberIndex::Members& members) const;

  const VmId m_self;
  const ZoneName m_zone;
  const int m_slowness;
};

} // namespace cowslippin
