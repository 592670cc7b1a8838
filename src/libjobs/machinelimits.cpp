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

/// Processor time, in seconds per second, for the callers and peers of a
/// daemon: some 20 callers' jobs a second and heartbeats of some 40 daemons.
constexpr double coresForCallers = 0.07;
/// Processor time that a holder spends on a task, with the task's part of the
/// job's messages. `processorSecondsPerTask`, which limits the size of a shard,
/// counts the orders to its workers alone. Rates are compared with each other,
/// so that this matters only against the limit of the link.
constexpr double holderSecondsPerTask = 0.0005;
/// Stands for a limit that isn't configured.
constexpr double unlimitedTaskRate = 10'000;

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

std::size_t
taskRateFor(const MachineLimits& limits)
{
  const double byProcessor =
    limits.cores > 0 ? (limits.cores - coresForCallers) / holderSecondsPerTask
                     : unlimitedTaskRate;
  const double byLink = limits.megabitsPerSecond > 0
                          ? limits.megabitsPerSecond * 1e6 * shareForWorkers /
                              (kilobytesPerTask * bitsPerKilobyte)
                          : unlimitedTaskRate;
  const double rate =
    std::clamp(std::min(byProcessor, byLink), 1.0, unlimitedTaskRate);
  return static_cast<std::size_t>(std::lround(rate));
}

} // namespace cowslippin
