#pragma once

#include "schedulerfixture.h"

#include <random>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// One kind of job in a replayed load.
struct LoadKind
{
  std::string queue;
  double jobsPerSecond = 0;
  unsigned tasks = 1;
  int taskMs = 0;
  /// CPU of a task in thousandths of a core; varies evenly by a fifth in both
  /// directions.
  std::int64_t cpu = 14000;
  /// Standard deviation of the logarithm of run time divided by estimate.
  double estimateError = 0;
};

/// Number of jobs of one kind, by how they ended.
struct LoadFigures
{
  unsigned submitted = 0;
  unsigned inTime = 0;
  unsigned late = 0;
  unsigned refused = 0;

  double inTimeShare() const
  {
    return submitted == 0 ? 0 : double(inTime) / submitted;
  }
};

/// Replays a load against a scheduler with its own workers on a virtual clock:
/// jobs arrive at random times, tasks take their run time, and answers are
/// compared with the response time objective. The same seed gives the same run.
class LoadReplay
{
public:
  LoadReplay(SchedulerFixture& fixture, std::uint64_t seed)
    : m_fixture(fixture)
    , m_random(seed)
  {
  }

  /// Sets how many times the usual time a task takes on a worker.
  void setSlowness(const WorkerId& worker, double slowness)
  {
    m_slowness[worker] = slowness;
  }

  void play(const std::vector<LoadKind>& kinds, Duration duration);

  const LoadFigures& figures(const std::string& queue)
  {
    return m_figures[queue];
  }
  LoadFigures sum() const;

private:
  struct Waiting
  {
    JobRequest request;
    TimePoint objectiveAt{};
  };

  void submit(const LoadKind& kind);
  void advanceRuns();
  void countEnds();
  bool happens(double probability);

  SchedulerFixture& m_fixture;
  std::mt19937_64 m_random;
  unsigned m_lastJob = 0;
  std::vector<Waiting> m_waiting;
  std::map<std::string, Duration> m_taskTimes;
  std::map<WorkerId, double> m_slowness;
  std::map<RunKey, TimePoint> m_startedAt;
  std::map<std::string, LoadFigures> m_figures;
};

} // namespace cowslippin::testing
