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

/// Calls a function for each element of a map by `RunKey` whose task's name
/// begins with a prefix. Takes a short time however many others there are.
template<class Map, class Visit>
void
visitTasks(const Map& map, const std::string& prefix, Visit visit)
{
  const auto begins = [&](const RunKey& key) {
    return key.task().compare(0, prefix.size(), prefix) == 0;
  };
  for (auto element = map.lower_bound(RunKey(prefix, 0));
       element != map.end() && begins(element->first);
       ++element)
    visit(*element);
}

} // namespace cowslippin
