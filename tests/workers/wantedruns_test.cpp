#include "leasefixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const RunKey run1("a.0.0.0", 1);
const RunKey run2("b.0.0.0", 1);
const Resources task(6800, 10, 0);

/// Lets time pass in steps in which all orders are delivered.
void
passAndDeliver(LeaseFixture& fixture, int milliseconds)
{
  for (int passed = 0; passed < milliseconds; passed += 20) {
    fixture.pass(20);
    fixture.deliver();
    fixture.worker.lapse(fixture.now);
  }
}

void
startBoth(LeaseFixture& fixture)
{
  fixture.claim();
  fixture.start(run1);
  fixture.start(run2);
  fixture.deliver(Delivery::Normal, 4);
}

TEST(WantedRuns, ARunLapsesOnTimeThoughAnotherOnItsWorkerIsRenewed)
{
  LeaseFixture fixture;
  const TimePoint end = fixture.now + milliseconds(1200);
  fixture.wantedUntil[run1] = end;
  startBoth(fixture);
  passAndDeliver(fixture, 1180);
  EXPECT_TRUE(fixture.worker.isRunning(run1));
  passAndDeliver(fixture, 40);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

TEST(WantedRuns, ARunThatIsWantedForShortIsLeasedForShort)
{
  LeaseFixture fixture;
  fixture.wantedUntil[run1] = fixture.now + milliseconds(500);
  startBoth(fixture);
  fixture.now += milliseconds(501);
  fixture.worker.lapse(fixture.now);
  EXPECT_FALSE(fixture.worker.isRunning(run1)) << "its holder was lost at once";
}

TEST(WantedRuns, ARunWhoseStopIsLostIsNotRenewed)
{
  LeaseFixture fixture;
  fixture.wantedUntil[run1] = fixture.now + milliseconds(1200);
  startBoth(fixture);
  passAndDeliver(fixture, 200);
  fixture.lease.stop(run1, fixture.now);
  fixture.unwanted.insert(run1);
  fixture.isStopLost = true;
  passAndDeliver(fixture, 900);
  EXPECT_TRUE(fixture.worker.isRunning(run1)) << "its stops are lost";
  passAndDeliver(fixture, 140);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

/// Starts a run of an earlier holder and claims the worker for the next.
void
leaveAStray(LeaseFixture& fixture, Duration lease, std::size_t strays = 1)
{
  const auto end = toMilliseconds((fixture.now + lease).time_since_epoch());
  fixture.worker.start({ 5, run1, "spec", end + 50000 }, fixture.now);
  fixture.claim();
  ASSERT_EQ(fixture.strays.size(), strays);
}

TEST(WantedRuns, WhatANewHolderFindsIsNotRenewedBeforeItIsAskedFor)
{
  LeaseFixture fixture;
  leaveAStray(fixture, milliseconds(150));
  fixture.pass(100);
  fixture.deliver();
  fixture.now += milliseconds(51);
  fixture.worker.lapse(fixture.now);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

TEST(WantedRuns, AnAdoptedRunIsRenewedAtOnce)
{
  LeaseFixture fixture;
  leaveAStray(fixture, milliseconds(150));
  ASSERT_TRUE(fixture.lease.adopt(run1.task(), task));
  fixture.lease.refresh(fixture.now);
  fixture.deliver();
  fixture.now += milliseconds(700);
  fixture.worker.lapse(fixture.now);
  EXPECT_TRUE(fixture.worker.isRunning(run1));
}

TEST(WantedRuns, NothingIsStartedWhereAnotherRunKeepsTheLeaseShort)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.wantedUntil[run1] = fixture.now + milliseconds(400);
  fixture.start(run1);
  fixture.deliver(Delivery::Normal, 2);
  EXPECT_TRUE(fixture.lease.isSafeToStart(task, fixture.now));
  fixture.now += milliseconds(150);
  EXPECT_FALSE(fixture.lease.isSafeToStart(task, fixture.now));
}

TEST(WantedRuns, ASilentWorkersRunsAreGoneWhenTheLastLeaseIsOver)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.now += milliseconds(800);
  const TimePoint begin = fixture.now;
  fixture.wantedUntil[run1] = begin + milliseconds(400);
  fixture.start(run1);
  fixture.deliver(Delivery::Normal, 2);
  EXPECT_GE(fixture.lease.lapsedBy(), begin + milliseconds(400));
  EXPECT_LE(fixture.lease.lapsedBy(), begin + milliseconds(500));
}

/// Lets the worker fall silent and expects that no run is said to be over while
/// it is at work.
void
expectNoneLeftBehindInSilence(LeaseFixture& fixture)
{
  fixture.pass(290);
  fixture.deliver(Delivery::Lost, 1);
  for (int i = 0; i < 8; ++i) {
    fixture.pass(90);
    fixture.deliver(Delivery::Lost, 4);
    fixture.worker.lapse(fixture.now);
    for (const auto& [key, how] : fixture.ended)
      EXPECT_FALSE(fixture.worker.isRunning(key)) << 290 + 90 * (i + 1);
  }
}

TEST(WantedRuns, AnAdoptedRunOfASilentWorkerIsNotOverBeforeTheLastHoldersLease)
{
  LeaseFixture fixture;
  const auto end =
    toMilliseconds((fixture.now + milliseconds(720)).time_since_epoch());
  fixture.worker.start({ 5, run2, "spec", end + 50000 }, fixture.now);
  leaveAStray(fixture, milliseconds(720), 2);
  ASSERT_TRUE(fixture.lease.adopt(run1.task(), task));
  expectNoneLeftBehindInSilence(fixture);
}

TEST(WantedRuns,
     AnAdoptedRunThatIsWantedForShortIsNotOverBeforeTheLastHoldersLease)
{
  LeaseFixture fixture;
  leaveAStray(fixture, milliseconds(720));
  fixture.wantedUntil[run1] = fixture.now + milliseconds(400);
  ASSERT_TRUE(fixture.lease.adopt(run1.task(), task));
  fixture.lease.refresh(fixture.now);
  fixture.orders.back()(Delivery::Normal);
  fixture.orders.pop_back();
  expectNoneLeftBehindInSilence(fixture);
}

} // namespace
} // namespace cowslippin::testing
