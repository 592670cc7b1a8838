#include "unansweredstarts.h"

namespace cowslippin {

void
UnansweredStarts::add(const RunKey& key,
                      const Resources& resources,
                      TimePoint expiresAt)
{
  m_starts[key] = { resources, expiresAt };
}

void
UnansweredStarts::remove(const RunKey& key)
{
  m_starts.erase(key);
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

Resources
UnansweredStarts::total() const
{
  Resources sum;
  for (const auto& [key, start] : m_starts)
    sum = sum + start.resources;
  return sum;
}

} // namespace cowslippin
