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

  /// Replaces the worker by one without runs that is otherwise the same.
  void loseRuns() { fixture.worker = FakeWorker(50000, WorkerBootTime(1)); }

  /// Receives a report that was requested `milliseconds` ago.
  void receiveReport(int milliseconds = 0)
  {
    const FencingToken token = fixture.lease.token();
    const TimePoint sent =
      fixture.now - std::chrono::milliseconds(milliseconds);
    fixture.lease.leaseOrderAnswered(
      { token, sent },
      fixture.worker.hold({ token, std::nullopt, 0, {} }, fixture.now),
      fixture.now);
  }

  /// Expects that exactly one run is presumed over, for this cause.
  void expectPresumedOver(PresumedOverCause cause)
  {
    ASSERT_EQ(fixture.presumedOver.size(), 1u);
    const RunPresumedOver& note = fixture.presumedOver[0];
    EXPECT_EQ(note.key, run);
    EXPECT_STREQ(toString(note.cause), toString(cause));
    EXPECT_EQ(note.at, fixture.now);
    EXPECT_FALSE(note.isOrphaned);
    EXPECT_EQ(note.token, 10u);
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

TEST_F(LeaseEventsTest, DoesNotPresumeARunOverWhoseEndIsListed)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.stop(run, fixture.now);
  fixture.deliver();
  fixture.start(RunKey("b.0.0.0", 1));
  fixture.deliver();
  fixture.worker.end(RunKey("b.0.0.0", 1), RunEnd::Done);
  fixture.deliver();
  EXPECT_EQ(fixture.ended.size(), 2u);
  EXPECT_TRUE(fixture.presumedOver.empty());
}

TEST_F(LeaseEventsTest, ReportsAConfirmedRunThatAReportDoesNotList)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver(Delivery::Normal, 2);
  fixture.now += std::chrono::milliseconds(30);
  loseRuns();
  receiveReport(10);
  expectPresumedOver(UnlistedEnd::Missing);
  const RunPresumedOver& note = fixture.presumedOver.at(0);
  EXPECT_EQ(note.sinceStart, std::chrono::milliseconds(30));
  EXPECT_EQ(note.sinceConfirmed, Duration(std::chrono::milliseconds(30)));
  EXPECT_FALSE(note.sinceStopAnswered);
  ASSERT_TRUE(note.report);
  EXPECT_EQ(note.report->sinceRequest, std::chrono::milliseconds(10));
  EXPECT_EQ(note.report->pastDeadlineMs, 30 - 750);
}

TEST_F(LeaseEventsTest, ReportsAnUnlistedRunWhoseStopWasAnswered)
{
  fixture.claim();
  fixture.orders.clear();
  fixture.start(run);
  fixture.deliver(Delivery::Lost, 1);
  fixture.deliver();
  expectPresumedOver(UnlistedEnd::MissingAfterStop);
  const RunPresumedOver& note = fixture.presumedOver.at(0);
  EXPECT_FALSE(note.sinceConfirmed);
  EXPECT_EQ(note.sinceStopAnswered, Duration::zero());
}

TEST_F(LeaseEventsTest, ReportsAnUnlistedRunWhoseStartHasExpired)
{
  fixture.areStopsLost = true;
  fixture.claim();
  fixture.orders.clear();
  fixture.start(run);
  fixture.deliver(Delivery::Lost, 1);
  fixture.now += std::chrono::milliseconds(750 + 60);
  receiveReport();
  EXPECT_TRUE(fixture.presumedOver.empty());
  fixture.now += std::chrono::milliseconds(1);
  receiveReport();
  expectPresumedOver(UnlistedEnd::StartExpired);
  EXPECT_EQ(fixture.presumedOver.at(0).report->pastDeadlineMs, 61);
}

TEST_F(LeaseEventsTest, ReportsARunOfAnEarlierIncarnation)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.restart(2);
  receiveReport();
  expectPresumedOver(UnlistedEnd::EarlierIncarnation);
  EXPECT_FALSE(fixture.presumedOver.at(0).report);
}

TEST_F(LeaseEventsTest, ReportsARunWhoseLeaseHasExpired)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  while (fixture.expiries.empty()) {
    advance(20);
    fixture.deliver(Delivery::Lost);
  }
  ASSERT_EQ(fixture.presumedOver.size(), 1u);
  EXPECT_STREQ(toString(fixture.presumedOver[0].cause), "lease-expired");
}

TEST_F(LeaseEventsTest, ReportsARunOfAReplacedWorker)
{
  fixture.claim();
  fixture.start(run);
  fixture.deliver();
  fixture.lease.leaseOrderAnswered(
    { 10, fixture.now }, OrderFailure::OtherIncarnation, fixture.now);
  expectPresumedOver(UnlistedEnd::WorkerReplaced);
}

TEST_F(LeaseEventsTest, ReportsARefusedStart)
{
  fixture.claim();
  fixture.start(run);
  fixture.lease.startAnswered(run, OrderFailure::Late, fixture.now);
  ASSERT_EQ(fixture.rejected.size(), 1u);
  expectPresumedOver(OrderFailure::Late);
}

TEST_F(LeaseEventsTest, ReportsAnOrphanedRunThatAReportDoesNotList)
{
  fixture.worker.start({ 5, run, "spec", 60'000'000 }, fixture.now);
  fixture.claim();
  loseRuns();
  receiveReport();
  ASSERT_EQ(fixture.presumedOver.size(), 1u);
  EXPECT_TRUE(fixture.presumedOver[0].isOrphaned);
  EXPECT_EQ(fixture.presumedOver[0].token, 0u);
  EXPECT_FALSE(fixture.presumedOver[0].report->pastDeadlineMs);
}

} // namespace
} // namespace cowslippin::testing
