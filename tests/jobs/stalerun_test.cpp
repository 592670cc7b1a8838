#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

/// Guards against hundreds of refused starts of a task that an earlier holder
/// has started far more often than a holder is expected to.
TEST(StaleRun, AFewRefusalsMakeUpForAnyNumberOfEarlierRuns)
{
  SchedulerFixture fixture;
  fixture.addWorker("w1");
  fixture.holdShard();
  const RunKey earlier("job.0.0.0", 7000);
  fixture.workers[WorkerId("w1")].stop({ 10, earlier }, fixture.now);
  fixture.scheduler.submit(fixture.request("job", 1), fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 1u);
  const auto& refused =
    fixture.scheduler.pool().presumedOverRuns().presumedOver();
  EXPECT_LE(refused.at(OrderFailure::StaleRun), 16u);
}

} // namespace
} // namespace cowslippin::testing
