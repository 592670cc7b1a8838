#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <set>

namespace cowslippin {

/// The availability zones that operators have asked to be evacuated. Nothing is
/// started on their workers until the request is taken back.
struct EvacuatedZones
{
  /// Position in the platform's log of operator requests up to which the log
  /// had been read when this was known; 0 if it was never read.
  std::uint64_t logPosition = 0;
  std::set<ZoneName> zones;

  bool isNewerThan(const EvacuatedZones& other) const
  {
    return logPosition > other.logPosition;
  }

  friend bool operator==(const EvacuatedZones& a, const EvacuatedZones& b)
  {
    return a.logPosition == b.logPosition && a.zones == b.zones;
  }
  friend bool operator!=(const EvacuatedZones& a, const EvacuatedZones& b)
  {
    return !(a == b);
  }
};

} // namespace cowslippin
