#include "heartbeatplan.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// How much longer an interval may be because a tick comes late.
constexpr Duration lateTick = std::chrono::milliseconds(20);

} // namespace

std::vector<VmId>
HeartbeatPlan::due(const std::set<VmId>& up,
                   const std::set<VmId>& close,
                   TimePoint now)
{
  const auto isUpAndClose = [&](const VmId& peer) {
    return up.count(peer) > 0;
  };
  const auto closeCount = static_cast<std::size_t>(
    std::count_if(close.begin(), close.end(), isUpAndClose));
  const std::size_t distant = up.size() - closeCount;
  const std::size_t left = m_settings.perInterval > closeCount
                             ? m_settings.perInterval - closeCount
                             : 0;
  const std::size_t turns = std::max(left, m_settings.leastDistant);
  m_slots = std::max<std::size_t>(1, (distant + turns - 1) / turns);
  for (auto known = m_promisedBy.begin(); known != m_promisedBy.end();) {
    if (up.count(known->first) == 0)
      known = m_promisedBy.erase(known);
    else
      ++known;
  }
  std::vector<VmId> due;
  for (const VmId& peer : up) {
    const auto promised = m_promisedBy.find(peer);
    const bool isDue = m_slots == 1 || close.count(peer) > 0 ||
                       promised == m_promisedBy.end() ||
                       promised->second - now < m_settings.interval + lateTick;
    if (isDue)
      due.push_back(peer);
  }
  return due;
}

Duration
HeartbeatPlan::promise(const VmId& peer, bool isClose, TimePoint now)
{
  const auto [promised, isNew] = m_promisedBy.try_emplace(peer);
  // A heartbeat that is sent out of turn doesn't move the peer's turn.
  if (!isClose && promised->second - now >= m_settings.interval + lateTick)
    return promised->second - now;
  auto slots = static_cast<int>(isClose ? 1 : m_slots);
  if (isNew && !isClose)
    slots = static_cast<int>(1 + m_newcomers++ % m_slots);
  const Duration wait =
    slots == 1 ? m_settings.interval : (m_settings.interval + lateTick) * slots;
  promised->second = now + wait;
  return wait;
}

} // namespace cowslippin
