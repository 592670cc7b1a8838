#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const WorkerId worker("w1");

/// Guards against a shard whose workers refuse the token that its holder has
/// told the other daemons, so that these don't find it unused after a loss.
TEST(WorkerListedAgain, KeepsTheTokenOfTheShardIfNothingIsInTransit)
{
  SchedulerFixture fixture;
  fixture.addWorker("w1");
  fixture.holdShard();
  fixture.addWorker("w2");
  fixture.scheduler.setWorkers({}, fixture.now);
  fixture.scheduler.setWorkers(fixture.list, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.workers[worker].highestToken(), 10u);
  EXPECT_EQ(fixture.workers[WorkerId("w2")].highestToken(), 10u);
}

/// Guards against a run that no lease counts: another worker was found at the
/// address, and a start that was in transit then is carried out later.
TEST(WorkerListedAgain, RefusesAStartOfTheEarlierLease)
{
  SchedulerFixture fixture;
  fixture.addWorker("w1");
  fixture.holdShard();
  fixture.delaysStarts = true;
  fixture.scheduler.submit(fixture.request("job", 1), fixture.now);
  ASSERT_EQ(fixture.lateStarts.size(), 1u);
  const StartOrder late = fixture.lateStarts[0].second;
  fixture.delaysStarts = false;
  fixture.scheduler.leaseOrderAnswered(worker,
                                       { late.token, fixture.now },
                                       OrderFailure::OtherIncarnation,
                                       fixture.now);
  fixture.scheduler.setWorkers(fixture.list, fixture.now);
  fixture.scheduler.setWorkers(fixture.list, fixture.now);
  fixture.settle();
  ASSERT_EQ(fixture.totalRuns(), 1u);
  EXPECT_EQ(fixture.workers[worker].start(late, fixture.now),
            OrderFailure::Fenced);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

} // namespace
} // namespace cowslippin::testing
