#include "leasefixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const RunKey run("a.0.0.0", 1);

class LeaseNotesTest : public ::testing::Test
{
protected:
  void pass(int milliseconds)
  {
    fixture.now += std::chrono::milliseconds(milliseconds);
    fixture.lease.tick(fixture.now);
  }

  /// Answers the report that waits, and loses a stop behind it.
  void loseStop()
  {
    fixture.deliver(Delivery::Normal, 1);
    if (fixture.orders.size() > 1)
      fixture.deliver(Delivery::Lost, 1);
  }

  LeaseFixture fixture;
};

/// Guards against a renewal over a run that is to end and that nobody sees.
TEST_F(LeaseNotesTest, ARenewalOverARunWhoseStopsAreLostIsToldOnce)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  for (int i = 0; i < 50; ++i) {
    loseStop();
    pass(20);
  }
  ASSERT_EQ(fixture.unwantedRenewals.size(), 1u);
  EXPECT_EQ(fixture.unwantedRenewals[0].key, run);
  EXPECT_FALSE(fixture.unwantedRenewals[0].isStray);
  EXPECT_GT(fixture.unwantedRenewals[0].age, Duration::zero());
}

/// Guards against a line for each stop, as one is followed by a report.
TEST_F(LeaseNotesTest, ARenewalAfterAnAnsweredStopIsNotTold)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  for (int i = 0; i < 5; ++i) {
    fixture.deliver();
    pass(20);
  }
  EXPECT_EQ(fixture.ended.size(), 1u);
  EXPECT_TRUE(fixture.unwantedRenewals.empty());
}

TEST_F(LeaseNotesTest, EachUnansweredStopIsTold)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  fixture.deliver(Delivery::Lost);
  ASSERT_EQ(fixture.stopsFailed.size(), 1u);
  EXPECT_EQ(fixture.stopsFailed[0].failure, OrderFailure::Unanswered);
  EXPECT_EQ(fixture.stopsFailed[0].sent, 1u);
}

TEST_F(LeaseNotesTest, AStrayThatIsStoppedIsTold)
{
  fixture.worker.start({ 5, run, "spec", 60'000'000 }, fixture.now);
  fixture.claim();
  ASSERT_EQ(fixture.strays.size(), 1u);
  pass(180);
  EXPECT_TRUE(fixture.straysStopped.empty());
  pass(20);
  ASSERT_EQ(fixture.straysStopped.size(), 1u);
  EXPECT_EQ(fixture.straysStopped[0], run);
}

TEST_F(LeaseNotesTest, ALapseTellsAllRunsOfTheWorker)
{
  fixture.claim();
  fixture.start(run);
  fixture.start(RunKey("b.0.0.0", 1));
  fixture.deliver();
  for (int i = 0; i < 100; ++i) {
    pass(20);
    fixture.deliver(Delivery::Lost);
  }
  ASSERT_EQ(fixture.lapses.size(), 1u);
  EXPECT_EQ(fixture.lapses[0].runs.size(), 2u);
  EXPECT_GT(fixture.lapses[0].sinceReport, std::chrono::milliseconds(750));
}

} // namespace
} // namespace cowslippin::testing
