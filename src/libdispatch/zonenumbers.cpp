#include "zonenumbers.h"

#include <cstdlib>

namespace cowslippin {

std::size_t
ZoneNumbers::number(const ZoneName& zone)
{
  const std::size_t next = m_numbers.size();
  const std::size_t number = m_numbers.emplace(zone, next).first->second;
  if (number >= ZoneSet().size()) {
    std::abort();
  }
  return number;
}

ZoneSet
ZoneNumbers::select(const std::vector<ZoneName>& zones) const
{
  ZoneSet selected;
  if (zones.empty()) {
    return selected.set();
  }
  for (const ZoneName& zone : zones) {
    const auto found = m_numbers.find(zone);
    if (found != m_numbers.end()) {
      selected.set(found->second);
    }
  }
  return selected;
}

} // namespace cowslippin
