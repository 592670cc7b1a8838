#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cowslippin::standins {

/// Counts how often each task was started. Safe for use by several threads.
class StartCounter
{
public:
  void add(const std::string& task);

  /// `{"total":N,"tasks":{TASK:n,...},"startedTwice":[TASK,...]}`
  nlohmann::json report() const;

private:
  mutable std::mutex m_mutex;
  std::uint64_t m_total = 0;
  std::map<std::string, std::uint64_t> m_tasks;
};

} // namespace cowslippin::standins
