#include "leasefixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const RunKey run("a.0.0.0", 1);

class LeaseEventsTest : public ::testing::Test
{
protected:
  void advance(int milliseconds)
  {
    fixture.now += std::chrono::milliseconds(milliseconds);
    fixture.lease.tick(fixture.now);
  }

  /// Answers the waiting report request, and loses the stop behind it.
  void loseStop()
  {
    fixture.deliver(Delivery::Normal, 1);
    if (fixture.orders.size() > 1)
      fixture.deliver(Delivery::Lost, 1);
  }

  LeaseFixture fixture;
};

/// Guards against renewals of a run that is to end without anybody noticing.
TEST_F(LeaseEventsTest, ReportsOnceARenewalOfARunWhoseStopsAreLost)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  for (int i = 0; i < 50; ++i) {
    loseStop();
    advance(20);
  }
  ASSERT_EQ(fixture.unwantedRenewals.size(), 1u);
  EXPECT_EQ(fixture.unwantedRenewals[0].key, run);
  EXPECT_FALSE(fixture.unwantedRenewals[0].isOrphaned);
  EXPECT_GT(fixture.unwantedRenewals[0].age, Duration::zero());
}

/// Guards against a log line for each stop: a report request, which renews the
/// lease, follows every stop.
TEST_F(LeaseEventsTest, DoesNotReportARenewalAfterAnAnsweredStop)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  for (int i = 0; i < 5; ++i) {
    fixture.deliver();
    advance(20);
  }
  EXPECT_EQ(fixture.ended.size(), 1u);
  EXPECT_TRUE(fixture.unwantedRenewals.empty());
}

TEST_F(LeaseEventsTest, ReportsEachUnansweredStop)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  fixture.deliver(Delivery::Lost);
  ASSERT_EQ(fixture.failedStops.size(), 1u);
  EXPECT_EQ(fixture.failedStops[0].failure, OrderFailure::Unanswered);
  EXPECT_EQ(fixture.failedStops[0].attempts, 1u);
}

TEST_F(LeaseEventsTest, ReportsThatAnOrphanedRunIsStopped)
{
  fixture.worker.start({ 5, run, "spec", 60'000'000 }, fixture.now);
  fixture.claim();
  ASSERT_EQ(fixture.orphans.size(), 1u);
  advance(180);
  EXPECT_TRUE(fixture.stoppedOrphans.empty());
  advance(20);
  ASSERT_EQ(fixture.stoppedOrphans.size(), 1u);
  EXPECT_EQ(fixture.stoppedOrphans[0], run);
}

TEST_F(LeaseEventsTest, ReportsAllRunsOfTheWorkerWhenItsLeaseExpires)
{
  fixture.claim();
  fixture.start(run);
  fixture.start(RunKey("b.0.0.0", 1));
  fixture.deliver();
  for (int i = 0; i < 100; ++i) {
    advance(20);
    fixture.deliver(Delivery::Lost);
  }
  ASSERT_EQ(fixture.expiries.size(), 1u);
  EXPECT_EQ(fixture.expiries[0].runs.size(), 2u);
  EXPECT_GT(fixture.expiries[0].sinceLastReport,
            std::chrono::milliseconds(750));
}

} // namespace
} // namespace cowslippin::testing
