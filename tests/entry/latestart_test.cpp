#include "simulation.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 40;

/// Long tasks, so that one is still at work when a late start of it arrives.
Simulation::Settings
withLongTasks()
{
  Simulation::Settings settings;
  settings.daemonsPerZone = 1;
  settings.workersPerZone = 8;
  settings.longestTaskMs = 2800;
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

/// Guards against two runs of a task at once: its start by one holder is 1,700
/// ms late, its caller submits again to the other, and the first worker
/// restarts as the late start arrives.
TEST(LateStartInAGroup, DoesNotRunBesideTheSameTaskAtAnotherHolder)
{
  unsigned twoRuns = 0;
  unsigned completed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Simulation simulation(withLongTasks(), seed);
    simulation.runFor(seconds(3));
    simulation.delayStarts(milliseconds(300), milliseconds(1700));
    simulation.runFor(milliseconds(300));
    for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon)
      simulation.loseCallers(daemon);
    simulation.runFor(milliseconds(1450));
    restartWorkers(simulation, 0, simulation.workers() / 2);
    simulation.runFor(seconds(4));
    twoRuns += violations(simulation, "two runs");
    completed += simulation.completed();
  }
  EXPECT_EQ(twoRuns, 0u);
  EXPECT_GT(completed, 20 * seeds);
}

/// Guards against exceeding the capacity of a worker that restarts as late
/// starts of a killed holder arrive, while the next holder fills it.
TEST(LateStartInAGroup, OfALostHolderLeavesRoomForTheNextHoldersStarts)
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
