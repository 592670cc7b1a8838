#include "startcounter.h"

namespace cowslippin::standins {

void
StartCounter::add(const std::string& task)
{
  const std::lock_guard lock(m_mutex);
  ++m_total;
  ++m_tasks[task];
}

nlohmann::json
StartCounter::report() const
{
  const std::lock_guard lock(m_mutex);
  nlohmann::json startedTwice = nlohmann::json::array();
  for (const auto& [task, starts] : m_tasks) {
    if (starts > 1) {
      startedTwice.push_back(task);
    }
  }
  return { { "total", m_total },
           { "tasks", m_tasks },
           { "startedTwice", startedTwice } };
}

} // namespace cowslippin::standins
