#include "presumedoverruns.h"

#include <algorithm>

namespace cowslippin {

void
PresumedOverRuns::add(const WorkerId& worker, const RunPresumedOver& note)
{
  ++m_presumedOver[note.cause];
  forget(worker, note.key);
  if (note.cause == PresumedOverCause(OrderFailure::StaleRun))
    return;
  while (!m_runs.empty() &&
         (m_runs.size() >= maxRuns || note.at - m_runs.front().at >= memory))
    m_runs.pop_front();
  m_runs.push_back({ note.key, worker, note.cause, note.token, note.at });
}

std::optional<RunReappeared>
PresumedOverRuns::runListed(const WorkerId& worker,
                            const RunKey& key,
                            TimePoint now)
{
  const auto found = find(worker, key);
  if (found == m_runs.end() || now - found->at >= memory)
    return std::nullopt;
  ++m_reappeared[found->cause];
  const RunReappeared note{ key, found->cause, now - found->at, found->token };
  m_runs.erase(found);
  return note;
}

PresumedOverRuns::Runs::iterator
PresumedOverRuns::find(const WorkerId& worker, const RunKey& key)
{
  return std::find_if(m_runs.begin(), m_runs.end(), [&](const Run& run) {
    return run.worker == worker && run.key == key;
  });
}

void
PresumedOverRuns::forget(const WorkerId& worker, const RunKey& key)
{
  const auto found = find(worker, key);
  if (found != m_runs.end())
    m_runs.erase(found);
}

} // namespace cowslippin
