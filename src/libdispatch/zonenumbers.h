#pragma once

#include "libcore/core.h"

#include <bitset>
#include <unordered_map>
#include <vector>

namespace cowslippin {

/// A set of zones, by the numbers that `ZoneNumbers` gave them.
using ZoneSet = std::bitset<256>;

/// Numbers the zones in the order in which they are first seen.
class ZoneNumbers
{
public:
  /// The zone's number, a new one when it is not known yet.
  std::size_t number(const ZoneName& zone);

  /// The known ones of these zones; all zones, known or not, when empty.
  ZoneSet select(const std::vector<ZoneName>& zones) const;

private:
  std::unordered_map<ZoneName, std::size_t> m_numbers;
};

} // namespace cowslippin
