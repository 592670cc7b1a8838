#include "shardsizelimits.h"

namespace cowslippin {

namespace {

/// How long a higher maximum must be possible before it is applied. A machine
/// that is restarted or replaced is back within this time.
constexpr Duration raiseDelay = std::chrono::seconds(20);

} // namespace

bool
ShardSizeLimits::update(const std::map<ZoneName, std::size_t>& smallestCapacity,
                        TimePoint now)
{
  bool isChanged = false;
  for (const auto& [zone, workers] : smallestCapacity) {
    const auto [bound, isNew] = m_bounds.try_emplace(zone, maxWorkersPerShard);
    if (workers == bound->second) {
      m_raisableSince.erase(zone);
      continue;
    }
    const TimePoint since =
      m_raisableSince.try_emplace(zone, now).first->second;
    if (!isNew && workers > bound->second && now - since < raiseDelay)
      continue;
    m_raisableSince.erase(zone);
    isChanged = isChanged || bound->second != workers;
    bound->second = workers;
  }
  return isChanged;
}

} // namespace cowslippin
