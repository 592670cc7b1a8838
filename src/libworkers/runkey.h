#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace cowslippin {

/// Identifies one run of one task. The run number rises with every start of the
/// task.
class RunKey
{
public:
  RunKey() = default;
  RunKey(std::string task, std::uint64_t run)
    : m_task(std::move(task))
    , m_run(run)
  {
  }

  /// The task's name, unique among all jobs.
  const std::string& task() const { return m_task; }
  std::uint64_t run() const { return m_run; }

  friend bool operator==(const RunKey& a, const RunKey& b)
  {
    return a.m_run == b.m_run && a.m_task == b.m_task;
  }
  friend bool operator!=(const RunKey& a, const RunKey& b) { return !(a == b); }
  friend bool operator<(const RunKey& a, const RunKey& b)
  {
    return std::tie(a.m_task, a.m_run) < std::tie(b.m_task, b.m_run);
  }

private:
  std::string m_task;
  std::uint64_t m_run = 0;
};

} // namespace cowslippin
