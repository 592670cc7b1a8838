#include "heartbeatschedule.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// How much longer an interval may be because a tick comes late.
constexpr Duration tickDelayTolerance = std::chrono::milliseconds(20);

} // namespace

std::vector<VmId>
HeartbeatSchedule::takeDuePeers(const std::set<VmId>& up,
                                const std::set<VmId>& close,
                                TimePoint now)
{
  const auto isUpAndClose = [&](const VmId& peer) {
    return up.count(peer) > 0;
  };
  const auto closeCount = static_cast<std::size_t>(
    std::count_if(close.begin(), close.end(), isUpAndClose));
  const std::size_t distantCount = up.size() - closeCount;
  const std::size_t remaining = m_settings.maxPerInterval > closeCount
                                  ? m_settings.maxPerInterval - closeCount
                                  : 0;
  const std::size_t distantPerInterval =
    std::max(remaining, m_settings.minDistantPerInterval);
  m_intervalsPerTurn = std::max<std::size_t>(
    1, (distantCount + distantPerInterval - 1) / distantPerInterval);
  for (auto known = m_nextDueAt.begin(); known != m_nextDueAt.end();) {
    if (up.count(known->first) == 0)
      known = m_nextDueAt.erase(known);
    else
      ++known;
  }
  std::vector<VmId> due;
  for (const VmId& peer : up) {
    const auto nextDue = m_nextDueAt.find(peer);
    const bool isDue =
      m_intervalsPerTurn == 1 || close.count(peer) > 0 ||
      nextDue == m_nextDueAt.end() ||
      nextDue->second - now < m_settings.interval + tickDelayTolerance;
    if (isDue)
      due.push_back(peer);
  }
  return due;
}

Duration
HeartbeatSchedule::scheduleNext(const VmId& peer, bool isClose, TimePoint now)
{
  const auto [nextDue, isNew] = m_nextDueAt.try_emplace(peer);
  // A heartbeat that is sent out of turn doesn't move the peer's turn.
  if (!isClose &&
      nextDue->second - now >= m_settings.interval + tickDelayTolerance)
    return nextDue->second - now;
  auto intervals = static_cast<int>(isClose ? 1 : m_intervalsPerTurn);
  if (isNew && !isClose)
    intervals = static_cast<int>(1 + m_addedPeers++ % m_intervalsPerTurn);
  const Duration wait =
    intervals == 1 ? m_settings.interval
                   : (m_settings.interval + tickDelayTolerance) * intervals;
  nextDue->second = now + wait;
  return wait;
}

} // namespace cowslippin
