#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// Guards against a second run of a task beside one that the earlier holder has
/// named and that its worker lists only after the claim.
TEST(UnlistedStart, OfARunThatWasHandedOverDoesNotRunBesideAnother)
{
  SchedulerFixture fixture;
  fixture.addWorker("w1");
  FakeWorker& worker = fixture.workers[WorkerId("w1")];
  const RunKey earlier("job.0.0.0", 1);
  ASSERT_FALSE(worker.accept(
    { 5, earlier, "", worker.clockMs(fixture.now) + 700 }, fixture.now));
  fixture.holdShard();
  JobRequest request = fixture.request("job", 1);
  request.mayHaveRun = true;
  request.firstRun = 10;
  request.quarantine =
    Quarantine{ std::nullopt,
                milliseconds(0),
                milliseconds(1270),
                std::vector<TaskLocation>{ { 0, WorkerId("w1") } } };
  fixture.scheduler.submit(request, fixture.now);
  fixture.advance(40);
  // A worker carries out no start of a run that was stopped.
  if (!worker.isStale(earlier))
    worker.list(earlier);
  EXPECT_LE(fixture.totalRuns(), 1u);
  fixture.advance(60);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

} // namespace
} // namespace cowslippin::testing
