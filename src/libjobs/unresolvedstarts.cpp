#include "unresolvedstarts.h"

#include <algorithm>

namespace cowslippin {

void
UnresolvedStarts::add(const UnresolvedStart& start)
{
  TimePoint& until = m_starts[{ start.key, start.worker }];
  until = std::max(until, start.until);
}

void
UnresolvedStarts::expire(TimePoint now)
{
  for (auto start = m_starts.begin(); start != m_starts.end();) {
    if (now >= start->second)
      start = m_starts.erase(start);
    else
      ++start;
  }
}

std::optional<UnresolvedStarts::Binding>
UnresolvedStarts::binding(const std::string& task) const
{
  if (m_starts.empty())
    return std::nullopt;
  std::optional<Binding> binding;
  for (auto start = m_starts.lower_bound({ RunKey(task, 0), WorkerId() });
       start != m_starts.end() && start->first.first.task() == task;
       ++start) {
    const auto& [key, worker] = start->first;
    if (!binding)
      binding = Binding{ worker };
    if (binding->worker != worker)
      binding->worker.reset();
    binding->until = std::max(binding->until, start->second);
    binding->nextRun = key.run() + 1;
  }
  return binding;
}

std::vector<UnresolvedStart>
UnresolvedStarts::all() const
{
  std::vector<UnresolvedStart> starts;
  for (const auto& [start, until] : m_starts)
    starts.push_back({ start.first, start.second, until });
  return starts;
}

} // namespace cowslippin
