#include "holderchoice.h"

namespace cowslippin {

std::optional<HolderChoice>
HolderChooser::choose(const std::vector<HolderChoice>& home,
                      const std::vector<HolderChoice>& abroad)
{
  const auto& choices = home.empty() ? abroad : home;
  if (choices.empty())
    return std::nullopt;
  const std::size_t count = choices.size();
  const std::size_t round = m_turn / count;
  const HolderChoice& one = choices[m_turn % count];
  ++m_turn;
  // The distance between the two grows with each round, so that every pair gets
  // compared.
  const HolderChoice& other = choices[(m_turn + round % count) % count];
  return one.places >= other.places ? one : other;
}

std::optional<HolderChoice>
HolderChooser::roomiest(const std::vector<HolderChoice>& home,
                        const std::vector<HolderChoice>& abroad)
{
  std::optional<HolderChoice> best;
  for (const auto* choices : { &home, &abroad }) {
    for (const HolderChoice& choice : *choices) {
      if (!best || choice.places > best->places)
        best = choice;
    }
  }
  return best;
}

} // namespace cowslippin
