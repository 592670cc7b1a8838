#pragma once

#include "childprocess.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Collects what hooks report from other threads, as lines of text.
class EventLog
{
public:
  void add(const std::string& event)
  {
    const std::lock_guard lock(m_mutex);
    m_events.push_back(event);
    m_added.notify_all();
  }

  /// Waits until `event` has been reported; false if the hang limit passes.
  bool waitFor(const std::string& event)
  {
    std::unique_lock lock(m_mutex);
    return m_added.wait_for(lock, hangLimit, [&] {
      return std::find(m_events.begin(), m_events.end(), event) !=
             m_events.end();
    });
  }

  std::vector<std::string> events() const
  {
    const std::lock_guard lock(m_mutex);
    return m_events;
  }

  std::size_t count(const std::string& event) const
  {
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
      std::count(m_events.begin(), m_events.end(), event));
  }

private:
  mutable std::mutex m_mutex;
  std::condition_variable m_added;
  std::vector<std::string> m_events;
};

} // namespace cowslippin::testing
