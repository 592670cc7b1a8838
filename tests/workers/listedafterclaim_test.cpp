#include "leasefixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const RunKey run1("job.0.0.0", 1);
const Resources task(6800, 10, 0);

/// A worker that accepts a start before it answers a claim, and lists the run
/// after that answer.
class ListedAfterClaim : public ::testing::Test
{
protected:
  /// The worker accepts a start with this token and doesn't list it yet.
  void accept(FencingToken token)
  {
    ASSERT_FALSE(fixture.worker.accept(
      { token, run1, "", fixture.worker.clockMs(fixture.now) + 700 },
      fixture.now));
  }

  /// Sends a claim and delivers it alone.
  void claimWithoutConfirmation(FencingToken token)
  {
    fixture.orders.clear();
    fixture.lease.claim(token, fixture.now);
    fixture.deliver(Delivery::Normal, 1);
  }

  LeaseFixture fixture;
};

/// Guards against exceeding the capacity of a worker, or running a task twice,
/// beside a run that the answer to the claim doesn't list.
TEST_F(ListedAfterClaim, ARunOfAnEarlierHolderCounts)
{
  accept(5);
  claimWithoutConfirmation(10);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Claiming);
  EXPECT_FALSE(fixture.lease.canStart(task));
  EXPECT_EQ(fixture.lease.freeCapacity(), Resources());
  EXPECT_FALSE(fixture.lease.lateStartsUntil());
  fixture.worker.list(run1);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Held);
  EXPECT_EQ(fixture.orphans, std::vector<RunKey>{ run1 });
  EXPECT_FALSE(fixture.lease.canStart(task)) << "the run isn't adopted";
}

/// Guards against taking a run for over because the answer of the worker's next
/// incarnation to the claim doesn't list it yet.
TEST_F(ListedAfterClaim, ARunInTheNextIncarnationIsKept)
{
  fixture.claim(10);
  fixture.orders.clear();
  fixture.start(run1);
  fixture.deliver(Delivery::Late, 1);
  fixture.restart(2);
  accept(10);
  fixture.lease.leaseOrderAnswered(
    { 10, fixture.now },
    fixture.worker.hold({ 10, std::nullopt, 0, {} }, fixture.now),
    fixture.now);
  ASSERT_EQ(fixture.lease.state(), LeaseState::Restarted);
  claimWithoutConfirmation(20);
  EXPECT_TRUE(fixture.unresolved.empty());
  fixture.worker.list(run1);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_TRUE(fixture.unresolved.empty());
  EXPECT_TRUE(fixture.ended.empty());
  EXPECT_TRUE(fixture.orphans.empty());
  EXPECT_EQ(fixture.lease.runCount(), 1u);
}

/// Guards against sending a start again, or stopping it for good, before it is
/// known whether the worker has the run.
TEST_F(ListedAfterClaim,
       AnUnansweredStartIsNotSentAgainBeforeTheClaimIsComplete)
{
  fixture.mayResend = true;
  fixture.claim(10);
  fixture.orders.clear();
  fixture.start(run1);
  fixture.deliver(Delivery::Lost, 1);
  fixture.worker.hold({ 15, std::nullopt, 0, {} }, fixture.now);
  fixture.deliver(Delivery::Normal, 1);
  ASSERT_EQ(fixture.lease.state(), LeaseState::Fenced);
  claimWithoutConfirmation(20);
  EXPECT_EQ(fixture.orders.size(), 1u) << "a report request alone";
  EXPECT_TRUE(fixture.stoppedStarts.empty());
  fixture.deliver(Delivery::Normal, 2);
  EXPECT_TRUE(fixture.worker.isRunning(run1));
}

TEST_F(ListedAfterClaim, ALostConfirmationIsRequestedAgain)
{
  accept(5);
  claimWithoutConfirmation(10);
  fixture.worker.list(run1);
  fixture.deliver(Delivery::Lost, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Claiming);
  fixture.advance(20);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Held);
  EXPECT_EQ(fixture.orphans.size(), 1u);
}

/// Guards against a claim that counts as complete because an earlier claim of
/// the worker was.
TEST_F(ListedAfterClaim, EachClaimIsConfirmed)
{
  fixture.claim(10);
  accept(15);
  claimWithoutConfirmation(20);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Claiming);
  fixture.worker.list(run1);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.orphans.size(), 1u);
}

/// Guards against runs that are found by a claim and never end because the
/// worker falls silent before the claim is complete.
TEST_F(ListedAfterClaim, RunsOfAWorkerThatFallsSilentMeanwhileExpire)
{
  accept(5);
  fixture.worker.list(run1);
  claimWithoutConfirmation(10);
  ASSERT_EQ(fixture.orphans.size(), 1u);
  for (int i = 0; i < 100; ++i) {
    fixture.deliver(Delivery::Lost, 8);
    fixture.advance(20);
  }
  EXPECT_EQ(fixture.lease.state(), LeaseState::Silent);
  EXPECT_TRUE(fixture.lease.isIdle());
  while (!fixture.orders.empty())
    fixture.deliver(Delivery::Lost, 1);
  fixture.advance(300);
  fixture.deliver(Delivery::Normal, 1);
  EXPECT_EQ(fixture.lease.state(), LeaseState::Held);
}

} // namespace
} // namespace cowslippin::testing
