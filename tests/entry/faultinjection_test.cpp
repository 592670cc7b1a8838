#include "faultscenario.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <tuple>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void
expectNoViolations(const Simulation& simulation)
{
  for (const std::string& violation : simulation.violations())
    ADD_FAILURE() << violation;
}

using Case = std::tuple<std::size_t, int>;

class DaemonGroupFaults : public ::testing::TestWithParam<Case>
{};

/// Guards against duplicate runs, exceeded capacities and starts of refused
/// jobs while the faults of a scenario are injected, and against a group that
/// completes less than a third of the submitted jobs after the faults.
TEST_P(DaemonGroupFaults, PreservesInvariantsAndRecovers)
{
  const FaultScenario scenario = faultScenarios()[std::get<0>(GetParam())];
  Simulation simulation(scenario.settings, std::get<1>(GetParam()));
  simulation.runFor(seconds(3));
  for (int round = 0; round < 8; ++round) {
    scenario.inject(simulation);
    simulation.runFor(milliseconds(700 + simulation.random()() % 1600));
  }
  for (unsigned zone = 0; zone < simulation.zones(); ++zone)
    simulation.reopen(zone);
  simulation.runFor(seconds(8));
  expectNoViolations(simulation);
  const unsigned submitted = simulation.submitted();
  const unsigned completed = simulation.completed();
  simulation.runFor(seconds(5));
  EXPECT_GT(simulation.completed() - completed,
            (simulation.submitted() - submitted) / 3);
  expectNoViolations(simulation);
}

std::string
caseName(const ::testing::TestParamInfo<Case>& info)
{
  return std::string(faultScenarios()[std::get<0>(info.param)].name) +
         std::to_string(std::get<1>(info.param));
}

/// The last seed to run; the first is 1. The environment variable
/// COWSLIPPIN_TEST_SEEDS replaces the default of 8.
int
lastSeed()
{
  const char* text = std::getenv("COWSLIPPIN_TEST_SEEDS");
  return text ? std::stoi(text) : 8;
}

INSTANTIATE_TEST_SUITE_P(
  Seeds,
  DaemonGroupFaults,
  ::testing::Combine(::testing::Range<std::size_t>(0, faultScenarios().size()),
                     ::testing::Range(1, lastSeed() + 1)),
  caseName);

/// Seeds beyond the first eight that have failed before: of `Leave`,
/// `PartitionDaemon`, `Resharding`, `AnyFaultAndResharding`,
/// `AnyFaultAndDelayedWorkerLists`, `ExpiredEntries` and
/// `ExpiredEntriesManyWorkers`.
INSTANTIATE_TEST_SUITE_P(RegressionSeeds,
                         DaemonGroupFaults,
                         ::testing::Values(Case(3, 34),
                                           Case(3, 35),
                                           Case(4, 25),
                                           Case(4, 409),
                                           Case(4, 523),
                                           Case(4, 574),
                                           Case(11, 40),
                                           Case(11, 81),
                                           Case(12, 27),
                                           Case(13, 21),
                                           Case(16, 48),
                                           Case(17, 17),
                                           Case(17, 67),
                                           Case(17, 183)),
                         caseName);

/// Seeds in which runs went on for too long after the holder had lost contact
/// with the daemon whose callers wait for the job. Of
/// `PartitionWithLateDetection`, `PartitionWithLateDetectionAndOrderFaults`,
/// `DisconnectCallersDelayedProcessing` and `LateLossDetection`.
INSTANTIATE_TEST_SUITE_P(LostContact,
                         DaemonGroupFaults,
                         ::testing::Values(Case(23, 9),
                                           Case(23, 17),
                                           Case(23, 21),
                                           Case(23, 30),
                                           Case(24, 14),
                                           Case(24, 37),
                                           Case(24, 38),
                                           Case(24, 51),
                                           Case(27, 25),
                                           Case(27, 42),
                                           Case(28, 15),
                                           Case(28, 16)),
                         caseName);

/// Seeds in which a worker restarts, and the new incarnation carries out an
/// order that was sent to the earlier incarnation and arrives seconds late,
/// before any holder has claimed the new incarnation. Of
/// `RestartWorkersAndOrderFaults` and `RestartWorkersAndAnyFault`.
INSTANTIATE_TEST_SUITE_P(OrdersToAnEarlierIncarnation,
                         DaemonGroupFaults,
                         ::testing::Values(Case(19, 16),
                                           Case(19, 130),
                                           Case(19, 393),
                                           Case(19, 504),
                                           Case(19, 913),
                                           Case(19, 922),
                                           Case(19, 962),
                                           Case(19, 983),
                                           Case(19, 1016),
                                           Case(19, 1211),
                                           Case(19, 1274),
                                           Case(20, 44),
                                           Case(20, 47),
                                           Case(20, 66),
                                           Case(20, 104),
                                           Case(20, 164),
                                           Case(20, 179),
                                           Case(20, 295),
                                           Case(20, 405),
                                           Case(20, 448),
                                           Case(20, 471),
                                           Case(20, 483),
                                           Case(20, 600),
                                           Case(20, 629),
                                           Case(20, 684),
                                           Case(20, 802),
                                           Case(20, 1122),
                                           Case(20, 1189),
                                           Case(20, 1234),
                                           Case(20, 1450),
                                           Case(20, 45),
                                           Case(20, 222),
                                           Case(20, 481),
                                           Case(20, 1004),
                                           Case(20, 1100),
                                           Case(20, 1121),
                                           Case(20, 1131),
                                           Case(20, 1389)),
                         caseName);

/// Seeds in which a worker's new incarnation carries out a late start order
/// that is unknown to the daemon that holds the worker or to the daemon that
/// starts the task again, or carries out two late start orders of one task. Of
/// `RestartWorkersAndAnyFault`.
INSTANTIATE_TEST_SUITE_P(LateStartsUnknownToHolder,
                         DaemonGroupFaults,
                         ::testing::Values(Case(20, 45),
                                           Case(20, 166),
                                           Case(20, 222),
                                           Case(20, 449),
                                           Case(20, 478),
                                           Case(20, 481),
                                           Case(20, 1004),
                                           Case(20, 1100),
                                           Case(20, 1121),
                                           Case(20, 1131),
                                           Case(20, 1140),
                                           Case(20, 1389)),
                         caseName);

/// Seeds in which a job is submitted again to a daemon that can't know of the
/// first submission, or is continued by a daemon that resumes after a
/// suspension. Of `DisconnectCallersUndetectedAndAnyFault`,
/// `CallersResubmitAndFreeze` and `CallersResubmitAndAnyFault`.
INSTANTIATE_TEST_SUITE_P(ResubmittedJobs,
                         DaemonGroupFaults,
                         ::testing::Values(Case(30, 60),
                                           Case(30, 180),
                                           Case(33, 126),
                                           Case(33, 138),
                                           Case(33, 155),
                                           Case(33, 177),
                                           Case(34, 133),
                                           Case(34, 160),
                                           Case(34, 166)),
                         caseName);

} // namespace
} // namespace cowslippin::testing
