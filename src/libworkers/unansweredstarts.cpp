#include "unansweredstarts.h"

#include <algorithm>

namespace cowslippin {

void
UnansweredStarts::add(const RunKey& key,
                      const Resources& resources,
                      TimePoint expiresAt)
{
  Start& start = m_starts[key];
  start.resources = resources;
  start.expiresAt = expiresAt;
  ++start.copiesSent;
}

void
UnansweredStarts::remove(const RunKey& key)
{
  const auto start = m_starts.find(key);
  if (start == m_starts.end())
    return;
  ++start->second.copiesAnswered;
  removeIfAccountedFor(start);
}

void
UnansweredStarts::runReported(const RunKey& key)
{
  const auto start = m_starts.find(key);
  if (start == m_starts.end())
    return;
  start->second.isRunReported = true;
  removeIfAccountedFor(start);
}

void
UnansweredStarts::removeIfAccountedFor(Starts::iterator start)
{
  const unsigned reported = start->second.isRunReported ? 1 : 0;
  if (std::max(start->second.copiesAnswered, reported) >=
      start->second.copiesSent)
    m_starts.erase(start);
}

void
UnansweredStarts::expire(TimePoint now)
{
  for (auto start = m_starts.begin(); start != m_starts.end();) {
    if (now >= start->second.expiresAt)
      start = m_starts.erase(start);
    else
      ++start;
  }
}

std::optional<TimePoint>
UnansweredStarts::expiry(const RunKey& key) const
{
  const auto found = m_starts.find(key);
  if (found == m_starts.end())
    return std::nullopt;
  return found->second.expiresAt;
}

std::vector<UnansweredStart>
UnansweredStarts::all() const
{
  std::vector<UnansweredStart> starts;
  for (const auto& [key, start] : m_starts)
    starts.push_back({ key, start.expiresAt });
  return starts;
}

void
UnansweredStarts::addTasks(const std::string& prefix,
                           std::set<std::string>& tasks) const
{
  visitTasks(m_starts, prefix, [&](const auto& start) {
    tasks.insert(start.first.task());
  });
}

Resources
UnansweredStarts::total() const
{
  Resources sum;
  for (const auto& [key, start] : m_starts)
    sum = sum + start.resources;
  return sum;
}

} // namespace cowslippin
