#include "eventratelimiter.h"

#include <utility>

namespace cowslippin {

namespace {

constexpr Duration windowLength = std::chrono::seconds(1);

} // namespace

EventRateLimiter::EventRateLimiter(unsigned eventsPerSecond)
  : EventRateLimiter(eventsPerSecond, eventsPerSecond)
{
}

EventRateLimiter::EventRateLimiter(unsigned eventsPerSecond,
                                   unsigned decisionsPerSecond)
  : m_eventsPerSecond(eventsPerSecond)
  , m_decisionsPerSecond(decisionsPerSecond)
{
}

bool
EventRateLimiter::admit(std::string_view event, TimePoint now, LogRank rank)
{
  const unsigned limit =
    rank == LogRank::Decisive ? m_decisionsPerSecond : m_eventsPerSecond;
  const std::lock_guard lock(m_mutex);
  auto found = m_windows.find(event);
  if (found == m_windows.end()) {
    found = m_windows.emplace(std::string(event), Window{ now }).first;
  }
  Window& window = found->second;
  startWindowIfEnded(found->first, window, now);
  ++window.total;
  if (window.admitted >= limit) {
    countSuppressed(window);
    return false;
  }
  ++window.admitted;
  return true;
}

void
EventRateLimiter::notWritten(std::string_view event)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_windows.find(event);
  if (found != m_windows.end())
    countSuppressed(found->second);
}

std::map<std::string, std::uint64_t>
EventRateLimiter::totals() const
{
  const std::lock_guard lock(m_mutex);
  std::map<std::string, std::uint64_t> totals;
  for (const auto& [event, window] : m_windows)
    totals.emplace(event, window.total);
  return totals;
}

std::vector<SuppressedEvents>
EventRateLimiter::takeEnded(TimePoint now)
{
  const std::lock_guard lock(m_mutex);
  if (m_suppressingWindows > 0) {
    for (auto& [event, window] : m_windows)
      startWindowIfEnded(event, window, now);
  }
  return std::exchange(m_ended, {});
}

std::vector<SuppressedEvents>
EventRateLimiter::takeAll()
{
  return takeEnded(TimePoint::max());
}

void
EventRateLimiter::countSuppressed(Window& window)
{
  if (window.suppressed++ == 0)
    ++m_suppressingWindows;
}

void
EventRateLimiter::startWindowIfEnded(const std::string& event,
                                     Window& window,
                                     TimePoint now)
{
  if (now - window.start < windowLength) {
    return;
  }
  if (window.suppressed > 0) {
    m_ended.emplace_back(event, window.suppressed);
    --m_suppressingWindows;
  }
  const std::uint64_t total = window.total;
  window = Window{ now };
  window.total = total;
}

} // namespace cowslippin
