#include "machinelimits.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

/// Share of a machine that is used for its workers; the rest is for callers,
/// other daemons and bursts.
constexpr double shareForWorkers = 1.0 / 3;
/// Load of a busy worker of some 16 cores: ten tasks a second, each with a
/// start, its part of a report and their answers.
constexpr double tasksPerSecond = 10;
constexpr double kilobytesPerTask = 1.1;
constexpr double processorSecondsPerTask = 0.0001;
constexpr double bitsPerKilobyte = 8000;

/// Returns how often `need` fits into the share of `limit` that is for workers.
double
workersWithin(double limit, double need)
{
  return limit > 0 ? limit * shareForWorkers / need
                   : double(maxWorkersPerShard);
}

} // namespace

std::size_t
maxWorkersFor(const MachineLimits& limits)
{
  const double byProcessor =
    workersWithin(limits.cores, tasksPerSecond * processorSecondsPerTask);
  const double byLink =
    workersWithin(limits.megabitsPerSecond * 1e6,
                  tasksPerSecond * kilobytesPerTask * bitsPerKilobyte);
  const double workers =
    std::clamp(std::min(byProcessor, byLink), 1.0, double(maxWorkersPerShard));
  return static_cast<std::size_t>(std::lround(workers));
}

} // namespace cowslippin
