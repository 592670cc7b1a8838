#include "simulation.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 40;

/// Long tasks: a task is still running when a late start order of the same task
/// arrives.
Simulation::Settings
withLongTasks()
{
  Simulation::Settings settings;
  settings.daemonsPerZone = 1;
  settings.workersPerZone = 8;
  settings.maxTaskMs = 2800;
  settings.jobsPerSecond = 20;
  settings.hasFailures = false;
  return settings;
}

void
restartWorkers(Simulation& simulation, std::size_t first, std::size_t last)
{
  for (std::size_t worker = first; worker < last; ++worker)
    simulation.restartWorker(worker);
}

unsigned
violations(const Simulation& simulation, const std::string& what)
{
  unsigned count = 0;
  for (const std::string& violation : simulation.violations())
    count += violation.find(what) != std::string::npos ? 1 : 0;
  return count;
}

/// Guards against two concurrent runs of a task. A start order of one holder
/// arrives 1,700 ms late. Meanwhile the caller disconnects and submits the job
/// again, to the other holder, and the first worker restarts as the late start
/// arrives.
TEST(LateStartInAGroup, DoesNotRunConcurrentlyWithTheSameTaskOfAnotherHolder)
{
  unsigned twoRuns = 0;
  unsigned completed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Simulation simulation(withLongTasks(), seed);
    simulation.runFor(seconds(3));
    simulation.delayStarts(milliseconds(300), milliseconds(1700));
    simulation.runFor(milliseconds(300));
    for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon)
      simulation.disconnectCallers(daemon);
    simulation.runFor(milliseconds(1450));
    restartWorkers(simulation, 0, simulation.workers() / 2);
    simulation.runFor(seconds(4));
    twoRuns += violations(simulation, "two runs");
    completed += simulation.completed();
  }
  EXPECT_EQ(twoRuns, 0u);
  EXPECT_GT(completed, 20 * seeds);
}

/// Guards against exceeding a worker's capacity. A holder is killed, its start
/// orders arrive late, the worker restarts as they arrive, and the next holder
/// starts tasks up to the same worker's capacity.
TEST(LateStartInAGroup, OfALostHolderStaysWithinWorkerCapacity)
{
  unsigned overCapacity = 0;
  unsigned completed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Simulation::Settings settings;
    settings.jobsPerSecond = 20;
    settings.hasFailures = false;
    Simulation simulation(settings, seed);
    simulation.runFor(seconds(3));
    simulation.delayStarts(milliseconds(600), milliseconds(1650));
    simulation.runFor(milliseconds(600));
    for (const std::size_t daemon : { 0, 2 })
      simulation.kill(daemon, milliseconds(600));
    simulation.runFor(milliseconds(1050));
    restartWorkers(simulation, 0, simulation.workers());
    simulation.runFor(seconds(4));
    overCapacity += violations(simulation, "over capacity");
    completed += simulation.completed();
  }
  EXPECT_EQ(overCapacity, 0u);
  EXPECT_GT(completed, 40 * seeds);
}

} // namespace
} // namespace cowslippin::testing
