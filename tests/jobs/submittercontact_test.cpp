#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const VmId gateway("gateway");

class SubmitterContact : public ::testing::Test
{
protected:
  SubmitterContact()
  {
    fixture.addWorker("w1");
    fixture.holdShard();
  }

  /// A job whose tasks are long enough not to be taken for stalled.
  JobRequest job(unsigned tasks)
  {
    return fixture.request("a", tasks, 6800, 2000);
  }

  void submit(const JobRequest& request)
  {
    fixture.scheduler.submit(request, fixture.now);
    fixture.settle();
  }

  /// From now on, no later message of the submitter is received.
  void loseContact() { fixture.lastContacts[gateway] = fixture.now; }

  SchedulerFixture fixture;
};

TEST_F(SubmitterContact, NothingIsStartedForASubmitterWhoseMessagesAreLate)
{
  loseContact();
  fixture.now += milliseconds(800);
  submit(job(1));
  EXPECT_EQ(fixture.totalRuns(), 0u);
  fixture.lastContacts[gateway] = fixture.now;
  fixture.scheduler.contactRenewed(fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

TEST_F(SubmitterContact, AJobOfALateSubmitterIsReturnedAndItsRunsAreStopped)
{
  const JobRequest request = job(2);
  submit(request);
  fixture.end("a.0.0.1", RunEnd::Done);
  loseContact();
  fixture.advance(840);
  EXPECT_EQ(fixture.endOf(request), nullptr);
  fixture.advance(40);
  ASSERT_NE(fixture.endOf(request), nullptr);
  EXPECT_EQ(fixture.endOf(request)->outcome, JobOutcome::Moved);
  EXPECT_EQ(fixture.endOf(request)->done, std::vector<TaskIndex>{ 1 });
  ASSERT_EQ(fixture.endOf(request)->activeTasks.size(), 1u);
  EXPECT_EQ(fixture.endOf(request)->activeTasks[0].worker, WorkerId("w1"));
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

TEST_F(SubmitterContact, LeasesExpireInTimeForALostSubmitterEvenIfNoStopArrives)
{
  submit(job(2));
  loseContact();
  fixture.advance(820);
  ASSERT_EQ(fixture.totalRuns(), 2u);
  fixture.areStopsLost = true;
  fixture.advance(440);
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

TEST_F(SubmitterContact, AMessageFromALostSubmitterRenewsNoLease)
{
  submit(job(1));
  loseContact();
  fixture.advance(400);
  fixture.areStopsLost = true;
  fixture.scheduler.peerLost(gateway, false, fixture.now);
  fixture.advance(100);
  ASSERT_EQ(fixture.totalRuns(), 1u);
  fixture.lastContacts.clear();
  fixture.advance(760);
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

TEST_F(SubmitterContact, AReconnectedSubmitterKeepsItsRuns)
{
  const JobRequest request = job(1);
  submit(request);
  fixture.advance(1000);
  ASSERT_EQ(fixture.totalRuns(), 1u);
  fixture.scheduler.peerLost(gateway, false, fixture.now);
  fixture.lastContacts[gateway] = TimePoint{};
  fixture.advance(20);
  JobRequest again = job(1);
  again.previousPart = request.key.part();
  again.mayHaveRun = true;
  submit(again);
  fixture.advance(60);
  EXPECT_EQ(fixture.endOf(again), nullptr);
  fixture.lastContacts[gateway] = fixture.now;
  fixture.scheduler.contactRenewed(fixture.now);
  fixture.advance(60);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

TEST_F(SubmitterContact, AJobThatWaitsForContactIsNotReturnedForLackOfRoom)
{
  fixture.scheduler.setPeerSlots(VmId("other"), ShardId(ZoneName("z2"), 0), 5);
  loseContact();
  fixture.now += milliseconds(800);
  submit(job(1));
  EXPECT_TRUE(fixture.returns.empty());
}

TEST_F(SubmitterContact, TheLeaseOfAnAdoptedRunIsRenewedBeforeItExpires)
{
  fixture.addWorker("w2");
  const auto end = toMilliseconds(fixture.now.time_since_epoch()) + 60;
  auto& worker = fixture.workers[WorkerId("w2")];
  worker.start({ 15, RunKey("a.0.0.0", 1), "spec", end + 50000 }, fixture.now);
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  fixture.scheduler.takeShard(SchedulerFixture::shard(), 20, fixture.now);
  fixture.settle();
  JobRequest request = job(1);
  request.mayHaveRun = true;
  submit(request);
  fixture.now += milliseconds(200);
  worker.expireLease(fixture.now);
  EXPECT_TRUE(worker.isRunning(RunKey("a.0.0.0", 1)));
}

TEST_F(SubmitterContact, NothingIsStartedOnAWorkerNotAdvertisedToTheSubmitter)
{
  fixture.advertisedUntil[gateway] = fixture.now;
  fixture.now += milliseconds(10);
  fixture.addWorker("w2");
  fixture.settle();
  submit(job(4));
  EXPECT_EQ(fixture.totalRuns(), 2u);
  EXPECT_EQ(fixture.workers[WorkerId("w2")].runCount(), 0u);
  fixture.advertisedUntil[gateway] = fixture.now;
  fixture.advance(20);
  EXPECT_EQ(fixture.workers[WorkerId("w2")].runCount(), 2u);
}

TEST(SubmitterContactBounds, RunsAreOverBeforeACallerSubmitsAgain)
{
  const Scheduler::Settings settings;
  const auto& lease = settings.pool.lease;
  const auto clockError = std::chrono::duration_cast<Duration>(
    lease.leaseDuration * (lease.maxClockDriftFactor - 1));
  EXPECT_LE(settings.maxContactAgeForStart + lease.leaseDuration,
            maxRunAfterContact);
  EXPECT_LT(settings.maxContactAge, maxRunAfterContact);
  EXPECT_LT(maxRunAfterContact + clockError, maxOrphanedRun);
  EXPECT_LT(maxRunAfterContact + 2 * clockError, milliseconds(1300));
}

} // namespace
} // namespace cowslippin::testing
