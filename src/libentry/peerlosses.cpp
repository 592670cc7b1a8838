#include "peerlosses.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// A peer that hasn't come back by then is considered to have ended.
constexpr Duration forgottenAfter = std::chrono::seconds(30);

} // namespace

bool
PeerLosses::mayBePartitioned(std::size_t reachable, TimePoint now) const
{
  const auto lost =
    std::count_if(m_lost.begin(), m_lost.end(), [now](const auto& item) {
      return now - item.second < forgottenAfter;
    });
  return lost > 0 && static_cast<std::size_t>(lost) >= reachable;
}

} // namespace cowslippin
