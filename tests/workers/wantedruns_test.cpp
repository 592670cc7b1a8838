#include "leasefixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const RunKey run1("a.0.0.0", 1);
const RunKey run2("b.0.0.0", 1);
const Resources task(6800, 10, 0);

/// Advances time in steps and delivers all orders at each step.
void
advanceAndDeliver(LeaseFixture& fixture, int milliseconds)
{
  for (int passed = 0; passed < milliseconds; passed += 20) {
    fixture.advance(20);
    fixture.deliver();
    fixture.worker.expireLease(fixture.now);
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

TEST(WantedRuns, ARunExpiresOnTimeAlthoughAnotherRunOfItsWorkerIsRenewed)
{
  LeaseFixture fixture;
  const TimePoint end = fixture.now + milliseconds(1200);
  fixture.runWantedUntil[run1] = end;
  startBoth(fixture);
  advanceAndDeliver(fixture, 1180);
  EXPECT_TRUE(fixture.worker.isRunning(run1));
  advanceAndDeliver(fixture, 40);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

TEST(WantedRuns, ARunThatIsWantedBrieflyGetsAShortLease)
{
  LeaseFixture fixture;
  fixture.runWantedUntil[run1] = fixture.now + milliseconds(500);
  startBoth(fixture);
  fixture.now += milliseconds(501);
  fixture.worker.expireLease(fixture.now);
  EXPECT_FALSE(fixture.worker.isRunning(run1)) << "the holder was lost at once";
}

TEST(WantedRuns, ARunWhoseStopIsLostIsNotRenewed)
{
  LeaseFixture fixture;
  fixture.runWantedUntil[run1] = fixture.now + milliseconds(1200);
  startBoth(fixture);
  advanceAndDeliver(fixture, 200);
  fixture.lease.stop(run1, fixture.now);
  fixture.unwanted.insert(run1);
  fixture.areStopsLost = true;
  advanceAndDeliver(fixture, 900);
  EXPECT_TRUE(fixture.worker.isRunning(run1))
    << "the stops of the run are lost";
  advanceAndDeliver(fixture, 140);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

/// Starts a run of an earlier holder and claims the worker for the next holder.
void
leaveOrphanedRun(LeaseFixture& fixture, Duration lease, std::size_t orphans = 1)
{
  const auto end = toMilliseconds((fixture.now + lease).time_since_epoch());
  fixture.worker.start({ 5, run1, "spec", end + 50000 }, fixture.now);
  fixture.claim();
  ASSERT_EQ(fixture.orphans.size(), orphans);
}

TEST(WantedRuns, AnOrphanedRunIsNotRenewedBeforeItIsAdopted)
{
  LeaseFixture fixture;
  leaveOrphanedRun(fixture, milliseconds(150));
  fixture.advance(100);
  fixture.deliver();
  fixture.now += milliseconds(51);
  fixture.worker.expireLease(fixture.now);
  EXPECT_FALSE(fixture.worker.isRunning(run1));
}

TEST(WantedRuns, AnAdoptedRunIsRenewedAtOnce)
{
  LeaseFixture fixture;
  leaveOrphanedRun(fixture, milliseconds(150));
  ASSERT_TRUE(fixture.lease.adoptOrphan(run1.task(), task));
  fixture.lease.requestReport(fixture.now);
  fixture.deliver();
  fixture.now += milliseconds(700);
  fixture.worker.expireLease(fixture.now);
  EXPECT_TRUE(fixture.worker.isRunning(run1));
}

TEST(WantedRuns, NothingIsStartedWhileAnotherRunKeepsTheLeaseShort)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.runWantedUntil[run1] = fixture.now + milliseconds(400);
  fixture.start(run1);
  fixture.deliver(Delivery::Normal, 2);
  EXPECT_TRUE(fixture.lease.isSafeToStart(task, fixture.now));
  fixture.now += milliseconds(150);
  EXPECT_FALSE(fixture.lease.isSafeToStart(task, fixture.now));
}

TEST(WantedRuns, RunsOfASilentWorkerExpireWithTheLastLease)
{
  LeaseFixture fixture;
  fixture.claim();
  fixture.now += milliseconds(800);
  const TimePoint begin = fixture.now;
  fixture.runWantedUntil[run1] = begin + milliseconds(400);
  fixture.start(run1);
  fixture.deliver(Delivery::Normal, 2);
  EXPECT_GE(fixture.lease.runsExpireBy(), begin + milliseconds(400));
  EXPECT_LE(fixture.lease.runsExpireBy(), begin + milliseconds(500));
}

/// Makes the worker silent and expects that no run in progress is reported as
/// ended.
void
expectNoRunEndsEarlyWhileSilent(LeaseFixture& fixture)
{
  fixture.advance(290);
  fixture.deliver(Delivery::Lost, 1);
  for (int i = 0; i < 8; ++i) {
    fixture.advance(90);
    fixture.deliver(Delivery::Lost, 4);
    fixture.worker.expireLease(fixture.now);
    for (const auto& [key, how] : fixture.ended)
      EXPECT_FALSE(fixture.worker.isRunning(key)) << 290 + 90 * (i + 1);
  }
}

TEST(WantedRuns,
     AnAdoptedRunOfASilentWorkerIsNotReportedEndedBeforeThePreviousLease)
{
  LeaseFixture fixture;
  const auto end =
    toMilliseconds((fixture.now + milliseconds(720)).time_since_epoch());
  fixture.worker.start({ 5, run2, "spec", end + 50000 }, fixture.now);
  leaveOrphanedRun(fixture, milliseconds(720), 2);
  ASSERT_TRUE(fixture.lease.adoptOrphan(run1.task(), task));
  expectNoRunEndsEarlyWhileSilent(fixture);
}

TEST(WantedRuns,
     AnAdoptedRunThatIsWantedBrieflyIsNotReportedEndedBeforeThePreviousLease)
{
  LeaseFixture fixture;
  leaveOrphanedRun(fixture, milliseconds(720));
  fixture.runWantedUntil[run1] = fixture.now + milliseconds(400);
  ASSERT_TRUE(fixture.lease.adoptOrphan(run1.task(), task));
  fixture.lease.requestReport(fixture.now);
  fixture.orders.back()(Delivery::Normal);
  fixture.orders.pop_back();
  expectNoRunEndsEarlyWhileSilent(fixture);
}

} // namespace
} // namespace cowslippin::testing
