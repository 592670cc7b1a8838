#include "holderchoice.h"

namespace cowslippin {

std::optional<HolderChoice>
HolderChooser::choose(const std::vector<HolderChoice>& localZone,
                      const std::vector<HolderChoice>& otherZones,
                      std::size_t tasks)
{
  if (localZone.empty())
    return otherZones.empty() ? std::nullopt
                              : std::make_optional(betterOfTwo(otherZones));
  const HolderChoice& first = betterOfTwo(localZone);
  if (first.freeSlots >= tasks)
    return first;
  const HolderChoice local = *mostFreeSlots(localZone, {});
  if (local.freeSlots >= tasks || otherZones.empty())
    return local.freeSlots > first.freeSlots ? local : first;
  const HolderChoice& other = betterOfTwo(otherZones);
  if (other.freeSlots >= tasks)
    return other;
  return local.freeSlots > first.freeSlots ? local : first;
}

/// Compares two of the choices, which must not be empty.
const HolderChoice&
HolderChooser::betterOfTwo(const std::vector<HolderChoice>& choices)
{
  const std::size_t count = choices.size();
  const std::size_t round = m_turn / count;
  const HolderChoice& first = choices[m_turn % count];
  ++m_turn;
  // The distance between the two grows with each round, so that every pair gets
  // compared.
  const HolderChoice& second = choices[(m_turn + round % count) % count];
  return first.freeSlots >= second.freeSlots ? first : second;
}

std::optional<HolderChoice>
HolderChooser::mostFreeSlots(const std::vector<HolderChoice>& localZone,
                             const std::vector<HolderChoice>& otherZones)
{
  std::optional<HolderChoice> best;
  for (const auto* choices : { &localZone, &otherZones }) {
    for (const HolderChoice& choice : *choices) {
      if (!best || choice.freeSlots > best->freeSlots)
        best = choice;
    }
  }
  return best;
}

} // namespace cowslippin
