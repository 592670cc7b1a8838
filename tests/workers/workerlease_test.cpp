#include "leasefixture.h"

#include <gtest/gtest.h>

#include <utility>

namespace cowslippin::testing {
namespace {

const RunKey run1("job.0.0.0", 1);
const Resources task(6800, 10, 0);

TEST(WorkerLease, StartsNothingBeforeItsClaimIsAnswered)
{
  LeaseFixture fixture;
  fixture.lease.claim(10, fixture.now);
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_TRUE(fixture.lease.canStart(task));
}

TEST(WorkerLease, CountsARunFromItsStartUntilItsEndIsListed)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.start(run1);
  fixture.start(RunKey("job.0.0.1", 1));
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.deliver(Delivery::Normal, 3);
  fixture.worker.end(run1, RunEnd::Done);
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.pass(20);
  fixture.deliver();
  EXPECT_TRUE(fixture.lease.canStart(task));
  ASSERT_EQ(fixture.ended.size(), 1u);
  EXPECT_EQ(fixture.ended[0].second, RunEnd::Done);
}

TEST(WorkerLease, AStoppedRunCountsUntilItsEndIsListed)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.orders.clear();
  fixture.start(run1, 12000);
  fixture.deliver(Delivery::Normal, 1);
  fixture.lease.stop(run1, fixture.now);
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_FALSE(fixture.lease.canStart(task)) << "the stop was answered only";
}

/// Of a worker that has a new id in each life, so that a stop holds for good.
TEST(WorkerLease, ATaskWhoseStartIsLostMayStartElsewhereOnceItsStopIsAnswered)
{
  LeaseFixture fixture;
  fixture.worker = FakeWorker(50000);
  fixture.claim();
  const auto waitingReport = std::exchange(fixture.orders, {});
  fixture.start(run1);
  fixture.deliver(Delivery::Late, 1);
  EXPECT_TRUE(fixture.ended.empty()) << "it may still begin";
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_TRUE(fixture.ended.empty()) << "the stop was answered only";
  fixture.deliver(Delivery::Normal, 1);
  ASSERT_EQ(fixture.ended.size(), 1u)
    << "without waiting for the report that waits for an end";
  EXPECT_EQ(fixture.ended[0].second, RunEnd::Lost);
  fixture.late[0]();
  EXPECT_FALSE(fixture.worker.isRunning(run1)) << "it never begins";
}

TEST(WorkerLease, AReportThatWasOvertakenByANewerOneIsIgnored)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.orders.clear();
  fixture.start(run1);
  fixture.deliver(Delivery::Normal, 1);
  const SentHold asked{ fixture.lease.token(), fixture.now };
  const HoldOrder order{ fixture.lease.token(), std::nullopt, 0, {} };
  const HoldAnswer older = fixture.worker.hold(order, fixture.now);
  fixture.now += std::chrono::milliseconds(5);
  fixture.worker.end(run1, RunEnd::Done);
  const HoldAnswer newer = fixture.worker.hold(order, fixture.now);
  fixture.lease.holdAnswered(asked, newer, fixture.now);
  ASSERT_EQ(fixture.ended.size(), 1u);
  fixture.lease.holdAnswered(asked, older, fixture.now);
  EXPECT_TRUE(fixture.strays.empty());
  EXPECT_TRUE(fixture.lease.canStart(task));
}

/// What may happen to the answer of a start, and what must be true a second
/// later: the run is settled and its room is free if and only if it is over.
struct StartCase
{
  const char* name;
  Delivery start;
  Delivery stop;
};

class UnansweredStart : public ::testing::TestWithParam<StartCase>
{};

TEST_P(UnansweredStart, IsSettledBeforeItsRoomIsUsedAgain)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.orders.clear();
  fixture.start(run1, 12000);
  fixture.deliver(GetParam().start, 1);
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.deliver(GetParam().stop, 1);
  // The report that was under way is answered first, then those after it.
  fixture.lease.holdAnswered(
    { 10, fixture.now },
    fixture.worker.hold({ 10, std::nullopt, 0, {} }, fixture.now),
    fixture.now);
  for (int step = 0; step < 80; ++step) {
    fixture.pass(20);
    fixture.deliver(Delivery::Normal, 2);
    EXPECT_FALSE(fixture.lease.canStart(Resources(12000, 0, 0)) &&
                 fixture.worker.isRunning(run1));
  }
  EXPECT_TRUE(fixture.lease.canStart(Resources(12000, 0, 0)));
  for (const auto& order : fixture.late)
    order();
  EXPECT_FALSE(fixture.worker.isRunning(run1)) << "carried out late";
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  UnansweredStart,
  ::testing::Values(
    StartCase{ "Lost", Delivery::Lost, Delivery::Normal },
    StartCase{ "AnswerLost", Delivery::AnswerLost, Delivery::Normal },
    StartCase{ "Late", Delivery::Late, Delivery::Normal },
    StartCase{ "LostAndStopLost", Delivery::Lost, Delivery::Lost },
    StartCase{ "AnswerLostAndStopLost", Delivery::AnswerLost, Delivery::Lost },
    StartCase{ "AnswerLostTwice", Delivery::AnswerLost, Delivery::AnswerLost },
    StartCase{ "LateAndStopLate", Delivery::Late, Delivery::Late }),
  [](const auto& info) { return std::string(info.param.name); });

TEST(WorkerLease, AStartThatMayStillArriveKeepsItsRoomThoughAReportLacksIt)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.start(run1, 12000);
  fixture.deliver(Delivery::Normal, 1);
  fixture.deliver(Delivery::Late, 1);
  ASSERT_EQ(fixture.late.size(), 1u);
  while (!fixture.orders.empty())
    fixture.deliver(Delivery::Lost, 1);
  fixture.pass(20);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.late.front()();
  EXPECT_TRUE(fixture.worker.isRunning(run1));
}

TEST(WorkerLease, AFencedHolderStartsNothingAndSaysSo)
{
  LeaseFixture fixture;
  fixture.claim(10);
  fixture.worker.hold({ 20, std::nullopt, 0, {} }, fixture.now);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Fenced);
  EXPECT_FALSE(fixture.lease.canStart(task));
}

TEST(WorkerLease, AFencedStartIsRejectedAndFreesItsRoom)
{
  LeaseFixture fixture;
  fixture.claim(10);
  fixture.orders.clear();
  fixture.start(run1);
  fixture.worker.hold({ 20, std::nullopt, 0, {} }, fixture.now);
  fixture.deliver(Delivery::Normal, 1);
  ASSERT_EQ(fixture.rejected.size(), 1u);
  EXPECT_EQ(fixture.rejected[0].second, OrderFailure::Fenced);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Fenced);
}

TEST(WorkerLease, ATakeoverFindsWhatRunsAndStartsNothingBesideIt)
{
  LeaseFixture fixture;
  fixture.worker.start({ 5, run1, "", 1000 * 1000 + 50000 + 700 }, fixture.now);
  fixture.claim(10);
  ASSERT_EQ(fixture.strays.size(), 1u);
  EXPECT_FALSE(fixture.lease.canStart(task)) << "its size isn't known";
  ASSERT_TRUE(fixture.lease.adopt(run1.task(), Resources(12000, 10, 0)));
  EXPECT_FALSE(fixture.lease.canStart(task));
  EXPECT_TRUE(fixture.lease.canStart(Resources(4000, 0, 0)));
}

TEST(WorkerLease, ARunThatNobodyAsksForIsStopped)
{
  LeaseFixture fixture;
  fixture.worker.start({ 5, run1, "", 1000 * 1000 + 50000 + 700 }, fixture.now);
  fixture.claim(10);
  for (int step = 0; step < 20; ++step) {
    fixture.pass(20);
    fixture.deliver(Delivery::Normal, 3);
  }
  EXPECT_FALSE(fixture.worker.isRunning(run1));
  EXPECT_TRUE(fixture.lease.canStart(Resources(16000, 0, 0)));
}

TEST(WorkerLease, AClaimDoesNotRenewTheLeaseOfWhatItFinds)
{
  LeaseFixture fixture;
  fixture.worker.start({ 5, run1, "", 1000 * 1000 + 50000 + 100 }, fixture.now);
  fixture.claim(10);
  fixture.orders.clear();
  fixture.now += std::chrono::milliseconds(110);
  fixture.worker.lapse(fixture.now);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

TEST(WorkerLease, RunsOfASilentWorkerEndOnlyWhenTheirLeaseIsSurelyOver)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.orders.clear();
  fixture.start(run1);
  fixture.deliver(Delivery::Normal, 1);
  fixture.lease.holdAnswered(
    { 10, fixture.now }, OrderFailure::Unanswered, fixture.now);
  while (fixture.ended.empty() &&
         fixture.now < fixture.lease.lapsedBy() + std::chrono::seconds(5)) {
    fixture.pass(20);
    fixture.deliver(Delivery::AnswerLost, 1);
    fixture.worker.lapse(fixture.now);
  }
  ASSERT_EQ(fixture.ended.size(), 1u);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
  EXPECT_FALSE(fixture.lease.canStart(task)) << "what runs there isn't known";
  fixture.pass(300);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_TRUE(fixture.lease.canStart(task));
}

TEST(WorkerLease, AnAnswerToAnEarlierClaimTellsNothingOfTheWorker)
{
  LeaseFixture fixture;
  fixture.claim();
  ASSERT_EQ(fixture.orders.size(), 1u) << "a report that may wait";
  fixture.lease.claim(20, fixture.now);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Claiming);
  EXPECT_FALSE(fixture.lease.canStart(task));
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Held);
  EXPECT_EQ(fixture.worker.highestToken(), 20u);
}

TEST(WorkerLease, ALateAnswerToAnEarlierStartLeavesARunThatWasFoundInTheBook)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.orders.clear();
  fixture.worker.start({ 10, run1, "spec", 1'100'000 }, fixture.now);
  fixture.claim(20);
  ASSERT_EQ(fixture.strays.size(), 1u);
  fixture.lease.startAnswered(run1, OrderFailure::StaleRun, fixture.now);
  EXPECT_TRUE(fixture.rejected.empty());
  EXPECT_FALSE(fixture.lease.canStart(task));
  for (int step = 0; step < 30; ++step) {
    fixture.pass(20);
    fixture.deliver(Delivery::Normal, 2);
  }
  EXPECT_FALSE(fixture.worker.isRunning(run1));
  EXPECT_TRUE(fixture.lease.canStart(task));
}

TEST(WorkerLease, AnotherLifeOfTheWorkerEndsItsRuns)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.start(run1);
  fixture.lease.holdAnswered(
    { 10, fixture.now }, OrderFailure::OtherLife, fixture.now);
  ASSERT_EQ(fixture.ended.size(), 1u);
  EXPECT_EQ(fixture.ended[0].second, RunEnd::Lost);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Ended);
}

TEST(WorkerLease, ADrainingWorkerIsGivenNothing)
{
  LeaseFixture fixture;
  fixture.claim();
  WorkerRecord::Fields fields;
  fields.capacity = Resources(16000, 1000, 0);
  fields.isDraining = true;
  fixture.lease.setRecord(WorkerRecord(fields), fixture.now);
  EXPECT_FALSE(fixture.lease.canStart(task));
}

TEST(WorkerLease, TheSumOfTheBoundsStaysBelowACallersResend)
{
  const WorkerLease::Settings settings;
  const Duration silenceLimit = std::chrono::milliseconds(450);
  const Duration stopTime = std::chrono::milliseconds(50);
  const auto lease = std::chrono::duration_cast<Duration>(
    settings.leaseTime * settings.slowestClock);
  EXPECT_LT(silenceLimit + lease + stopTime, std::chrono::milliseconds(1300));
}

} // namespace
} // namespace cowslippin::testing
