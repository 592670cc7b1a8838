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
    advanceRuns();
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
  Duration taskTime = std::chrono::milliseconds(kind.taskMs);
  if (kind.estimateError > 0) {
    std::lognormal_distribution<double> error(0, kind.estimateError);
    taskTime = scaled(taskTime, error(m_random));
  }
  m_taskTimes[name] = taskTime;
  const Duration objective =
    scaled(taskTime, request.policy.stretch) + request.policy.target;
  m_waiting.push_back({ request, m_fixture.now + objective });
  ++m_figures[kind.queue].submitted;
  m_fixture.scheduler.submit(request, m_fixture.now);
}

/// Sets the progress of all runs, and ends those whose time is over.
void
LoadReplay::advanceRuns()
{
  for (auto& [id, worker] : m_fixture.workers) {
    const auto slowness = m_slowness.find(id);
    const double factor = slowness == m_slowness.end() ? 1 : slowness->second;
    for (const RunKey& key : worker.runs()) {
      const std::string job = key.task().substr(0, key.task().find('.'));
      const Duration runTime = scaled(m_taskTimes.at(job), factor);
      const TimePoint start =
        m_startedAt.try_emplace(key, m_fixture.now).first->second;
      const Duration elapsed = m_fixture.now - start;
      if (elapsed >= runTime)
        worker.end(key, RunEnd::Done);
      else
        worker.setPercent(key, static_cast<int>(elapsed * 100 / runTime));
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
