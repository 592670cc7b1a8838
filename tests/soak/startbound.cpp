#include "startbound.h"

#include "durationtext.h"

#include <algorithm>

namespace cowslippin::testing {

StartBound::StartBound(unsigned zones, std::size_t workers)
  : m_zones(zones)
  , m_claims(workers)
{
}

void
StartBound::submitted(const std::string& job, TimePoint now)
{
  m_submissions.emplace(job, Submission{ now, m_claims });
}

std::optional<std::string>
StartBound::arrived(const RunKey& key, TimePoint now)
{
  Task& task = m_tasks[key.task()];
  ++task.arrivals;
  const std::string job = key.task().substr(0, key.task().find('.'));
  const auto submission = m_submissions.find(job);
  if (task.isOverBound || submission == m_submissions.end())
    return std::nullopt;
  const Bound allowed = bound(submission->second, task, now);
  if (key.run() <= allowed.number && task.arrivals <= allowed.arrivals)
    return std::nullopt;
  task.isOverBound = true;
  return "too many starts of " + key.task() + ": run number " +
         std::to_string(key.run()) + ", " + std::to_string(task.arrivals) +
         " arrived, at most " + std::to_string(allowed.number) + " and " +
         std::to_string(allowed.arrivals) + " within" +
         inMs(now - submission->second.at);
}

/// A lease on a worker begins with a claim. It tries the task at once and then
/// every `retryDelay`, and so does the next one, so that the tries are as many
/// as the delays on all workers and the claims. A run that has ended and a
/// number that was refused as stale allow one more. Numbers are left out after
/// a refusal as stale, and when a task moves. A zone's holder makes it move
/// once before it has claimed the zone's workers again, and whenever it has
/// lost contact. The numbers left out after refusals double with each one.
StartBound::Bound
StartBound::bound(const Submission& submission,
                  const Task& task,
                  TimePoint now) const
{
  const Duration time = now - submission.at;
  const auto delays = static_cast<std::uint64_t>(time / retryDelay) + 1;
  const auto losses = static_cast<std::uint64_t>(time / maxContactAge);
  std::uint64_t claims = 0;
  std::vector<unsigned> releases(m_zones, 1);
  for (std::size_t i = 0; i < m_claims.size(); ++i) {
    const unsigned since = m_claims[i] - submission.claims[i];
    unsigned& ofZone = releases[i % m_zones];
    ofZone = std::max(ofZone, since + 1);
    claims += since;
  }
  std::uint64_t moves = losses * m_zones;
  for (const unsigned ofZone : releases)
    moves += ofZone;
  const std::uint64_t tries = delays * (m_claims.size() + resendsADelay) +
                              claims + task.runs + task.stale;
  const std::uint64_t gaps =
    (std::uint64_t(1) << std::min(task.stale, maxDoublings)) - 1;
  return { tries + runNumberGap * (gaps + moves),
           tries + runNumberGap * (task.stale + moves) };
}

} // namespace cowslippin::testing
