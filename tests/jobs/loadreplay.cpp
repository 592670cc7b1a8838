#include "loadreplay.h"

namespace cowslippin::testing {

namespace {

constexpr Duration step = std::chrono::milliseconds(2);
/// Time for the last jobs to end; longer than any job of these loads may wait.
constexpr Duration afterwards = std::chrono::seconds(5);

} // namespace

void
LoadReplay::play(const std::vector<LoadKind>& kinds, Duration duration)
{
  const TimePoint end = m_fixture.now + duration;
  const double steps = double(std::chrono::seconds(1) / step);
  while (m_fixture.now < end + afterwards) {
    m_fixture.now += step;
    for (const LoadKind& kind : kinds) {
      if (m_fixture.now < end && happens(kind.jobsPerSecond / steps))
        submit(kind);
    }
    endRuns();
    m_fixture.scheduler.tick(m_fixture.now);
    m_fixture.deliver();
    countEnds();
  }
}

LoadFigures
LoadReplay::sum() const
{
  LoadFigures sum;
  for (const auto& [queue, figures] : m_figures) {
    sum.submitted += figures.submitted;
    sum.inTime += figures.inTime;
    sum.late += figures.late;
    sum.refused += figures.refused;
  }
  return sum;
}

void
LoadReplay::submit(const LoadKind& kind)
{
  const std::int64_t spread = kind.cpu / 5;
  const std::int64_t cpu =
    kind.cpu - spread +
    static_cast<std::int64_t>(m_random() % std::uint64_t(2 * spread + 1));
  const std::string name = "j" + std::to_string(++m_lastJob);
  JobRequest request = m_fixture.request(name, kind.tasks, cpu, kind.taskMs);
  request.policy.queue = kind.queue;
  const Duration taskTime = std::chrono::milliseconds(kind.taskMs);
  m_taskTimes[name] = taskTime;
  const Duration objective =
    scaled(taskTime, request.policy.stretch) + request.policy.target;
  m_waiting.push_back({ request, m_fixture.now + objective });
  ++m_figures[kind.queue].submitted;
  m_fixture.scheduler.submit(request, m_fixture.now);
}

/// Ends the runs whose time is over, and records when runs seen for the first
/// time will end.
void
LoadReplay::endRuns()
{
  for (auto& [id, worker] : m_fixture.workers) {
    for (const RunKey& key : worker.runs()) {
      const std::string job = key.task().substr(0, key.task().find('.'));
      const auto run =
        m_endsAt.try_emplace(key, m_fixture.now + m_taskTimes.at(job)).first;
      if (m_fixture.now >= run->second)
        worker.end(key, RunEnd::Done);
    }
  }
}

void
LoadReplay::countEnds()
{
  std::vector<Waiting> waiting;
  for (Waiting& job : m_waiting) {
    const JobEnd* end = m_fixture.endOf(job.request);
    LoadFigures& figures = m_figures[job.request.policy.queue];
    if (!end)
      waiting.push_back(std::move(job));
    else if (end->outcome == JobOutcome::Refused)
      ++figures.refused;
    else if (m_fixture.now <= job.objectiveAt)
      ++figures.inTime;
    else
      ++figures.late;
  }
  m_waiting = std::move(waiting);
}

bool
LoadReplay::happens(double probability)
{
  return std::uniform_real_distribution<double>()(m_random) < probability;
}

} // namespace cowslippin::testing
