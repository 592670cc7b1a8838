#pragma once

#include "logrank.h"

#include "libcore/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// How many records of an event were left out within its last second.
class SuppressedEvents
{
public:
  SuppressedEvents(std::string event, std::uint64_t count)
    : m_event(std::move(event))
    , m_count(count)
  {
  }

  const std::string& event() const { return m_event; }
  std::uint64_t count() const { return m_count; }

  friend bool operator==(const SuppressedEvents& a, const SuppressedEvents& b)
  {
    return a.m_event == b.m_event && a.m_count == b.m_count;
  }
  friend bool operator!=(const SuppressedEvents& a, const SuppressedEvents& b)
  {
    return !(a == b);
  }

private:
  std::string m_event;
  std::uint64_t m_count;
};

/// Limits how often each event is logged. Seconds are counted from an event's
/// first record. Thread-safe; its memory grows with the number of distinct
/// event names, which are constants of the code.
class EventRateLimiter
{
public:
  explicit EventRateLimiter(unsigned eventsPerSecond);
  EventRateLimiter(unsigned eventsPerSecond, unsigned decisionsPerSecond);

  /// Whether the event may be logged at `now`. If not, it is counted.
  bool admit(std::string_view event,
             TimePoint now,
             LogRank rank = LogRank::Frequent);
  /// Counts an admitted record that could not be written as suppressed.
  void notWritten(std::string_view event);

  /// How often each event came, admitted or not.
  std::map<std::string, std::uint64_t> totals() const;

  /// What was suppressed in seconds that have ended, each told once.
  std::vector<SuppressedEvents> takeEnded(TimePoint now);

  /// What has been suppressed and not been told yet, ended or not.
  std::vector<SuppressedEvents> takeAll();

private:
  struct Window
  {
    TimePoint start;
    unsigned admitted = 0;
    std::uint64_t suppressed = 0;
    std::uint64_t total = 0;
  };

  void countSuppressed(Window& window);
  void startWindowIfEnded(const std::string& event,
                          Window& window,
                          TimePoint now);

  const unsigned m_eventsPerSecond;
  const unsigned m_decisionsPerSecond;
  mutable std::mutex m_mutex;
  std::map<std::string, Window, std::less<>> m_windows;
  /// Number of windows with suppressed records that have not been reported. If
  /// it is zero, the windows need not be searched.
  std::size_t m_suppressingWindows = 0;
  std::vector<SuppressedEvents> m_ended;
};

} // namespace cowslippin
