#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

class SchedulerTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    fixture.addWorker("w1");
    fixture.addWorker("w2");
    fixture.holdShard();
  }

  void submit(const JobRequest& request)
  {
    fixture.scheduler.submit(request, fixture.now);
    fixture.settle();
  }

  SchedulerFixture fixture;
};

TEST_F(SchedulerTest, StartsAllTasksAndCompletesWhenTheLastIsDone)
{
  const JobRequest job = fixture.request("a", 3);
  submit(job);
  EXPECT_EQ(fixture.totalRuns(), 3u);
  fixture.end("a.0.0.0", RunEnd::Done);
  fixture.end("a.0.0.1", RunEnd::Done);
  EXPECT_EQ(fixture.endOf(job), nullptr);
  fixture.end("a.0.0.2", RunEnd::Done);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Completed);
}

TEST_F(SchedulerTest, TasksWaitForRoomAndNoWorkerExceedsItsCapacity)
{
  submit(fixture.request("a", 6));
  EXPECT_EQ(fixture.totalRuns(), 4u)
    << "two tasks of 6.8 cores on each worker of 16";
  fixture.end("a.0.0.0", RunEnd::Done);
  EXPECT_EQ(fixture.totalRuns(), 4u);
  EXPECT_EQ(fixture.scheduler.waitingTasks(), 1u);
}

TEST_F(SchedulerTest, AReportToAnEarlierLeaseDoesNotFillAWorkerTwice)
{
  const SentLeaseOrder earlier{ 10, fixture.now };
  const LeaseOrderAnswer beforeTheStarts = fixture.workers[WorkerId("w1")].hold(
    { 10, std::nullopt, 0, {} }, earlier.sentAt);
  submit(fixture.request("a", 4));
  ASSERT_EQ(fixture.totalRuns(), 4u);
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  fixture.scheduler.takeShard(SchedulerFixture::shard(), 20, fixture.now);
  for (const char* worker : { "w1", "w2" })
    fixture.scheduler.leaseOrderAnswered(
      WorkerId(worker), earlier, beforeTheStarts, fixture.now);
  submit(fixture.request("b", 4));
  EXPECT_EQ(fixture.totalRuns(), 4u);
}

/// Returns the number of the task's run in progress; 0 if there is none.
std::uint64_t
runInProgress(const SchedulerFixture& fixture, const std::string& task)
{
  for (const auto& [id, worker] : fixture.workers) {
    for (const RunKey& key : worker.runs()) {
      if (key.task() == task)
        return key.run();
    }
  }
  return 0;
}

TEST_F(SchedulerTest, AStalledRunIsRestartedEvenIfItsStopTakesLong)
{
  fixture.addWorker("w3");
  fixture.settle();
  submit(fixture.request("a", 1));
  ASSERT_EQ(runInProgress(fixture, "a.0.0.0"), 1u);
  fixture.advance(340);
  for (int tick = 0; tick < 4; ++tick) {
    fixture.now += std::chrono::milliseconds(10);
    fixture.scheduler.tick(fixture.now);
  }
  fixture.advance(60);
  EXPECT_EQ(runInProgress(fixture, "a.0.0.0"), 2u);
  fixture.advance(460);
  EXPECT_EQ(runInProgress(fixture, "a.0.0.0"), 3u);
}

TEST_F(SchedulerTest, TheEndOfAnAdoptedRunIsNoSampleOfRunTimes)
{
  JobRequest left = fixture.request("left", 1, 6800, 600);
  submit(left);
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  fixture.scheduler.takeShard(SchedulerFixture::shard(), 20, fixture.now);
  fixture.settle();
  left.key = JobKey(VmId("gateway"), JobId("left"), ++fixture.lastPart);
  left.mayHaveRun = true;
  submit(left);
  fixture.advance(20);
  ASSERT_TRUE(fixture.end("left.0.0.0", RunEnd::Done));
  ASSERT_NE(fixture.endOf(left), nullptr);
  submit(fixture.request("next", 1, 6800, 600));
  fixture.advance(600);
  EXPECT_EQ(runInProgress(fixture, "next.0.0.0"), 1u);
}

TEST_F(SchedulerTest, AFailedTaskIsTriedOnAnotherWorkerAndThenFailsItsJob)
{
  const JobRequest job = fixture.request("a", 1);
  submit(job);
  const WorkerId first = fixture.workers[WorkerId("w1")].runCount() > 0
                           ? WorkerId("w1")
                           : WorkerId("w2");
  fixture.end("a.0.0.0", RunEnd::Failed);
  EXPECT_EQ(fixture.workers[first].runCount(), 0u);
  EXPECT_EQ(fixture.totalRuns(), 1u);
  fixture.end("a.0.0.0", RunEnd::Failed);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Failed);
}

TEST_F(SchedulerTest, AJobThatCanNeverRunIsRefusedAtOnce)
{
  const JobRequest job = fixture.request("a", 1, 17000);
  submit(job);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Refused);
  EXPECT_GT(fixture.endOf(job)->retryAfter, Duration::zero());
}

TEST_F(SchedulerTest, AJobThatWouldWaitTooLongIsRefusedAndNothingOfItStarts)
{
  submit(fixture.request("a", 4, 6800, 1000));
  for (int i = 0; i < 12; ++i)
    submit(fixture.request("b" + std::to_string(i), 4, 6800, 100));
  const JobRequest late = fixture.request("late", 4, 6800, 100);
  submit(late);
  ASSERT_NE(fixture.endOf(late), nullptr);
  EXPECT_EQ(fixture.endOf(late)->outcome, JobOutcome::Refused);
  for (const auto& [id, worker] : fixture.workers)
    EXPECT_EQ(worker.starts("late.0.0.0"), 0u);
}

TEST_F(SchedulerTest, AStartedJobIsNeverRefused)
{
  const JobRequest job = fixture.request("a", 8, 6800, 20);
  submit(job);
  fixture.advance(3000);
  const JobEnd* end = fixture.endOf(job);
  EXPECT_TRUE(!end || end->outcome != JobOutcome::Refused);
}

TEST_F(SchedulerTest, ACancelledJobsRunsAreStopped)
{
  const JobRequest job = fixture.request("a", 3);
  submit(job);
  fixture.scheduler.cancel(job.key, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 0u);
  EXPECT_EQ(fixture.endOf(job), nullptr);
}

TEST_F(SchedulerTest, RunsOfALostSubmitterAreStoppedSoon)
{
  submit(fixture.request("a", 2));
  fixture.scheduler.peerLost(VmId("gateway"), false, fixture.now);
  fixture.advance(100);
  EXPECT_EQ(fixture.totalRuns(), 2u);
  fixture.advance(160);
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

TEST_F(SchedulerTest, AReconnectedSubmitterContinuesUnderItsNewKey)
{
  const JobRequest first = fixture.request("a", 2);
  submit(first);
  fixture.scheduler.peerLost(VmId("gateway"), false, fixture.now);
  JobRequest again = fixture.request("a", 2);
  again.previousPart = first.key.part();
  again.mayHaveRun = true;
  again.quarantine = Quarantine{ fixture.advertisedWorkers(),
                                 {},
                                 std::chrono::milliseconds(1200) };
  submit(again);
  fixture.advance(300);
  EXPECT_EQ(fixture.totalRuns(), 2u);
  fixture.end("a.0.0.0", RunEnd::Done);
  fixture.end("a.0.0.1", RunEnd::Done);
  ASSERT_NE(fixture.endOf(again), nullptr);
  EXPECT_EQ(fixture.endOf(again)->outcome, JobOutcome::Completed);
  for (const auto& [id, worker] : fixture.workers)
    EXPECT_LE(worker.starts("a.0.0.0"), 1u);
}

TEST_F(SchedulerTest, ANewHolderAdoptsTheRunsThatItFinds)
{
  SchedulerFixture next;
  next.addWorker("w1");
  next.workers[WorkerId("w1")].start(
    { 5, RunKey("a.0.0.0", 3), "", 1000 * 1000 + 50000 + 700 }, next.now);
  next.holdShard();
  JobRequest job = next.request("a", 2);
  job.mayHaveRun = true;
  job.quarantine =
    Quarantine{ next.advertisedWorkers(), {}, std::chrono::milliseconds(1200) };
  next.scheduler.submit(job, next.now);
  next.settle();
  next.advance(40);
  EXPECT_EQ(next.workers[WorkerId("w1")].starts("a.0.0.0"), 1u);
  EXPECT_EQ(next.totalRuns(), 2u) << "the other task has no run and is started";
  next.end("a.0.0.0", RunEnd::Done);
  next.end("a.0.0.1", RunEnd::Done);
  ASSERT_NE(next.endOf(job), nullptr);
  EXPECT_EQ(next.endOf(job)->outcome, JobOutcome::Completed);
}

/// A holder that had claimed the worker before the loss adopts the run,
/// although the report that it has requested is held back until a run ends.
TEST_F(SchedulerTest, ARunReportedBeforeTheLossIsRequestedAgainAndAdopted)
{
  SchedulerFixture next;
  next.addWorker("w1");
  next.workers[WorkerId("w1")].start(
    { 5, RunKey("a.0.0.0", 3), "", 1000 * 1000 + 50000 + 700 }, next.now);
  next.scheduler.takeShard(SchedulerFixture::shard(), 10, next.now);
  next.deliver();
  next.now += std::chrono::milliseconds(60);
  JobRequest job = next.request("a", 1);
  job.mayHaveRun = true;
  job.quarantine = Quarantine{ next.advertisedWorkers(),
                               std::chrono::milliseconds(5),
                               std::chrono::milliseconds(1200) };
  next.scheduler.submit(job, next.now);
  for (int step = 0; step < 15; ++step) {
    next.deliver();
    next.now += std::chrono::milliseconds(20);
    next.scheduler.tick(next.now);
  }
  EXPECT_EQ(next.totalRuns(), 1u);
  EXPECT_EQ(next.workers[WorkerId("w1")].starts("a.0.0.0"), 1u);
}

TEST_F(SchedulerTest, ATaskThatMayRunWaitsUntilAllWorkersHaveReported)
{
  SchedulerFixture next;
  next.addWorker("w1");
  next.scheduler.takeShard(SchedulerFixture::shard(), 10, next.now);
  JobRequest job = next.request("a", 1);
  job.mayHaveRun = true;
  job.quarantine =
    Quarantine{ next.advertisedWorkers(), {}, std::chrono::milliseconds(1200) };
  next.scheduler.submit(job, next.now);
  next.scheduler.tick(next.now);
  EXPECT_EQ(next.totalRuns(), 0u);
  next.settle();
  next.advance(40);
  EXPECT_EQ(next.totalRuns(), 1u);
}

TEST_F(SchedulerTest, ATaskThatMayRunWaitsForReportsRequestedAfterTheLoss)
{
  fixture.advance(100);
  // An unreachable daemon has claimed and used a worker meanwhile, without this
  // daemon's knowledge.
  const std::int64_t leaseEnd = 1000 * 1000 + 50000 + 100 + 700;
  fixture.workers[WorkerId("w1")].start(
    { 15, RunKey("a.0.0.0", 2), "", leaseEnd }, fixture.now);
  JobRequest job = fixture.request("a", 1);
  job.mayHaveRun = true;
  job.firstRun = 10;
  job.quarantine = Quarantine{ fixture.advertisedWorkers(),
                               std::chrono::milliseconds(1),
                               std::chrono::milliseconds(1200) };
  fixture.scheduler.submit(job, fixture.now);
  for (int step = 0; step < 30; ++step) {
    fixture.advance(20);
    EXPECT_EQ(fixture.totalRuns(), 1u);
  }
  EXPECT_EQ(fixture.workers[WorkerId("w2")].starts("a.0.0.0"), 0u);
}

TEST_F(SchedulerTest,
       ATaskThatMayRunOnAnUnlistedWorkerWaitsForTheWholeQuarantine)
{
  SchedulerFixture next;
  next.addWorker("w1");
  next.holdShard();
  JobRequest job = next.request("a", 1);
  job.mayHaveRun = true;
  job.quarantine =
    Quarantine{ next.advertisedWorkers(), {}, std::chrono::milliseconds(1200) };
  job.quarantine->lostHoldersWorkers->digest += 1;
  next.scheduler.submit(job, next.now);
  next.advance(1100);
  EXPECT_EQ(next.workers[WorkerId("w1")].starts("a.0.0.0"), 0u)
    << "the previous holder had other workers";
  next.advance(200);
  EXPECT_EQ(next.totalRuns(), 1u);
}

TEST_F(SchedulerTest,
       ATaskWaitsForTheWholeQuarantineIfTheLostHoldersWorkersAreUnknown)
{
  JobRequest job = fixture.request("a", 1);
  job.mayHaveRun = true;
  job.quarantine =
    Quarantine{ std::nullopt, {}, std::chrono::milliseconds(1200) };
  fixture.scheduler.submit(job, fixture.now);
  for (int step = 0; step < 58; ++step) {
    fixture.advance(20);
    EXPECT_EQ(fixture.totalRuns(), 0u);
  }
  fixture.advance(60);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

TEST_F(SchedulerTest, ARunReportedBeforeTheLossIsNotTakenForTheLatest)
{
  SchedulerFixture next;
  next.addWorker("w1");
  next.addWorker("w2");
  const std::int64_t leaseEnd = 1000 * 1000 + 50000 + 700;
  FakeWorker& old = next.workers[WorkerId("w1")];
  FakeWorker& latest = next.workers[WorkerId("w2")];
  old.start({ 5, RunKey("a.0.0.0", 3), "", leaseEnd }, next.now);
  next.holdShard();
  // Another holder ends that run and starts one on another worker before it is
  // lost.
  old.stop({ 50, RunKey("a.0.0.0", 3) }, next.now);
  latest.start({ 50, RunKey("a.0.0.0", 4), "", leaseEnd }, next.now);
  next.now += std::chrono::milliseconds(20);
  JobRequest job = next.request("a", 1);
  job.mayHaveRun = true;
  const TaskLocation location{ 0, WorkerId("w2") };
  job.quarantine = Quarantine{ next.advertisedWorkers(),
                               {},
                               std::chrono::milliseconds(1200),
                               { { location } } };
  next.scheduler.submit(job, next.now);
  next.scheduler.releaseShard(SchedulerFixture::shard(), next.now);
  ASSERT_NE(next.endOf(job), nullptr);
  EXPECT_EQ(next.endOf(job)->activeTasks,
            std::vector<TaskLocation>{ location });
}

TEST_F(SchedulerTest, TheDigestOfAHeldShardCoversAllWorkersThatMayHaveRuns)
{
  const ShardDigest whole =
    fixture.scheduler.workersDigest(SchedulerFixture::shard());
  submit(fixture.request("a", 1));
  for (const auto& [id, worker] : fixture.workers) {
    if (worker.runCount() > 0)
      fixture.list.erase(id);
  }
  fixture.scheduler.setWorkers(fixture.list, fixture.now);
  EXPECT_EQ(fixture.scheduler.workersDigest(SchedulerFixture::shard()), whole)
    << "a worker that is no longer listed has a run";
  fixture.end("a.0.0.0", RunEnd::Done);
  fixture.advance(20);
  EXPECT_NE(fixture.scheduler.workersDigest(SchedulerFixture::shard()), whole);
}

TEST_F(SchedulerTest, ATaskWaitsOnlyForTheWorkerThatMayRunIt)
{
  JobRequest job = fixture.request("a", 3, 6800, 3000);
  job.mayHaveRun = true;
  job.quarantine =
    Quarantine{ fixture.advertisedWorkers(),
                {},
                std::chrono::milliseconds(1200),
                { { { 0, WorkerId("w1") }, { 1, WorkerId("unlisted") } } } };
  fixture.scheduler.submit(job, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 1u) << "the task that had not been started";
  fixture.advance(40);
  EXPECT_EQ(fixture.totalRuns(), 2u)
    << "its worker has reported that the run is over";
  for (int step = 0; step < 55; ++step) {
    fixture.advance(20);
    EXPECT_EQ(fixture.totalRuns(), 2u);
  }
  fixture.advance(100);
  EXPECT_EQ(fixture.totalRuns(), 3u);
}

TEST_F(SchedulerTest, JobsOfAReleasedShardMoveWithoutStoppingTheirRuns)
{
  const JobRequest job = fixture.request("a", 2);
  submit(job);
  fixture.end("a.0.0.0", RunEnd::Done);
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 1u);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Moved);
  EXPECT_EQ(fixture.endOf(job)->done, std::vector<TaskIndex>{ 0 });
  ASSERT_EQ(fixture.endOf(job)->activeTasks.size(), 1u);
  EXPECT_EQ(fixture.endOf(job)->activeTasks[0].task, 1u);
  EXPECT_EQ(
    fixture.workers[fixture.endOf(job)->activeTasks[0].worker].runCount(), 1u);
  EXPECT_GT(fixture.endOf(job)->nextRun, 1u);
}

TEST_F(SchedulerTest, RejectsAJobForAShardThatItDoesNotHold)
{
  JobRequest job = fixture.request("a", 1);
  job.shard = ShardId(ZoneName("z2"), 0);
  submit(job);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::NotHolder);
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

TEST_F(SchedulerTest, TasksWithoutRoomAreReturnedForAHolderThatHasSome)
{
  const ShardId other(ZoneName("z2"), 0);
  fixture.scheduler.setPeerSlots(VmId("peer"), other, 5);
  submit(fixture.request("a", 6));
  ASSERT_EQ(fixture.returns.size(), 1u);
  EXPECT_EQ(fixture.returns[0].holder, VmId("peer"));
  EXPECT_EQ(fixture.returns[0].shard, other);
  EXPECT_EQ(fixture.returns[0].tasks.size(), 2u);
  EXPECT_EQ(fixture.totalRuns(), 4u);
}

/// Guards against a submitter that takes returned tasks for done.
TEST_F(SchedulerTest, ACompletedJobReportsItsDoneTasksButNotReturnedOnes)
{
  fixture.scheduler.setPeerSlots(VmId("peer"), ShardId(ZoneName("z2"), 0), 5);
  const JobRequest job = fixture.request("a", 6);
  submit(job);
  ASSERT_EQ(fixture.returns.size(), 1u);
  for (int task = 0; task < 4; ++task)
    fixture.end("a.0.0." + std::to_string(task), RunEnd::Done);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Completed);
  EXPECT_EQ(fixture.endOf(job)->done, (std::vector<TaskIndex>{ 0, 1, 2, 3 }));
}

TEST_F(SchedulerTest, InAnEvacuatedZoneRunsCompleteAndNothingStarts)
{
  const JobRequest job = fixture.request("a", 6);
  const JobRequest waiting = fixture.request("b", 2, 6800, 2000);
  submit(job);
  submit(waiting);
  ASSERT_EQ(fixture.totalRuns(), 4u);
  fixture.scheduler.setEvacuatedZones({ ZoneName("z1") }, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 4u);
  ASSERT_EQ(fixture.returns.size(), 1u);
  EXPECT_EQ(fixture.returns[0].tasks.size(), 2u);
  EXPECT_TRUE(fixture.returns[0].holder.isEmpty());
  ASSERT_NE(fixture.endOf(waiting), nullptr);
  EXPECT_EQ(fixture.endOf(waiting)->outcome, JobOutcome::Refused)
    << "no task of it was started";
  EXPECT_EQ(
    fixture.scheduler.spareSlots(SchedulerFixture::shard(), fixture.now), 0u);
  fixture.end("a.0.0.0", RunEnd::Failed);
  EXPECT_EQ(fixture.totalRuns(), 3u);
  ASSERT_EQ(fixture.returns.size(), 2u) << "its next attempt is made elsewhere";
  for (const char* task : { "a.0.0.1", "a.0.0.2", "a.0.0.3" })
    fixture.end(task, RunEnd::Done);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Completed);
}

TEST_F(SchedulerTest, AnEvacuatedZoneRefusesNewJobsUntilTheEvacuationEnds)
{
  fixture.scheduler.setEvacuatedZones({ ZoneName("z1") }, fixture.now);
  const JobRequest job = fixture.request("a", 2);
  submit(job);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Refused);
  JobRequest part = fixture.request("b", 2);
  part.mayHaveRun = true;
  submit(part);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  ASSERT_EQ(fixture.returns.size(), 1u) << "parts of a job aren't refused";
  EXPECT_EQ(fixture.returns[0].tasks.size(), 2u);
  fixture.scheduler.setEvacuatedZones({}, fixture.now);
  submit(fixture.request("c", 2));
  EXPECT_EQ(fixture.totalRuns(), 2u);
}

TEST_F(SchedulerTest, TasksAreNotReturnedForSlotsInAnEvacuatedZone)
{
  fixture.scheduler.setPeerSlots(VmId("other"), ShardId(ZoneName("z2"), 0), 50);
  fixture.scheduler.setEvacuatedZones({ ZoneName("z2") }, fixture.now);
  submit(fixture.request("a", 6));
  EXPECT_TRUE(fixture.returns.empty());
  EXPECT_EQ(fixture.scheduler.waitingTasks(), 2u);
}

/// Each worker that starts the task restarts under its id and loses its runs.
TEST_F(SchedulerTest, ATaskThatCrashesItsWorkersRunsAloneAndThenFails)
{
  std::int64_t bootTime = 100;
  for (const char* id : { "w1", "w2" })
    fixture.restartWorker(WorkerId(id), ++bootTime);
  const JobRequest bad = fixture.request("bad", 1, 4000, 5000);
  submit(bad);
  submit(fixture.request("good", 2, 4000, 5000));
  for (unsigned crashes = 1; crashes <= 3; ++crashes) {
    fixture.advance(100);
    const auto worker = fixture.workerOf("bad.0.0.0");
    ASSERT_TRUE(worker) << crashes;
    if (crashes == 3) {
      EXPECT_EQ(fixture.workers[*worker].runCount(), 1u)
        << "nothing else is lost with it";
    }
    EXPECT_EQ(fixture.endOf(bad), nullptr);
    fixture.restartWorker(*worker, ++bootTime);
  }
  fixture.advance(100);
  EXPECT_FALSE(fixture.workerOf("bad.0.0.0"));
  ASSERT_NE(fixture.endOf(bad), nullptr);
  EXPECT_EQ(fixture.endOf(bad)->outcome, JobOutcome::Failed);
}

/// Workers that become unreachable in turn end a task's runs as often as
/// crashes would. A job that could still be done must not be reported as
/// failed.
TEST_F(SchedulerTest, RunsWithAnExpiredLeaseOnSilentWorkersAreNoCrashes)
{
  JobRequest job = fixture.request("a", 1, 4000, 5000);
  job.timeLeft = std::chrono::seconds(60);
  submit(job);
  fixture.lostShare = 1;
  for (int step = 0; step < 1200; ++step) {
    fixture.now += std::chrono::milliseconds(20);
    fixture.scheduler.tick(fixture.now);
    fixture.deliver();
    // A worker that answers for a moment gets the task again.
    fixture.lostShare = step % 120 < 100 ? 1 : 0;
  }
  EXPECT_EQ(fixture.endOf(job), nullptr);
}

TEST_F(SchedulerTest, CrashesUnderAnEarlierHolderCount)
{
  JobRequest job = fixture.request("a", 1);
  job.crashes = { { 0, 2 } };
  submit(fixture.request("b", 1));
  submit(job);
  EXPECT_EQ(fixture.totalRuns(), 2u);
  for (const auto& [id, worker] : fixture.workers)
    EXPECT_EQ(worker.runCount(), 1u) << "each on a worker of its own";
  submit(fixture.request("c", 2));
  for (const auto& [id, worker] : fixture.workers) {
    if (worker.starts("a.0.0.0") > 0) {
      EXPECT_EQ(worker.runCount(), 1u);
    }
  }
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->crashes, job.crashes);
}

TEST_F(SchedulerTest,
       AWorkerWithReducedCapacityIsNotOverfilledAndNoJobIsRefused)
{
  fixture.addWorker("w1", 4000);
  fixture.addWorker("w2", 4000);
  const JobRequest job = fixture.request("a", 1, 6800);
  submit(job);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  EXPECT_EQ(fixture.endOf(job), nullptr)
    << "it waits until a worker has more capacity";
  submit(fixture.request("small", 2, 3000));
  EXPECT_EQ(fixture.totalRuns(), 2u) << "one task on each worker";
  fixture.addWorker("w1", 16000);
  fixture.advance(20);
  EXPECT_EQ(fixture.totalRuns(), 3u);
}

TEST_F(SchedulerTest, AStalledTaskIsRestartedElsewhere)
{
  submit(fixture.request("a", 1, 6800, 100));
  ASSERT_EQ(fixture.totalRuns(), 1u);
  fixture.advance(600);
  unsigned starts = 0;
  for (const auto& [id, worker] : fixture.workers)
    starts += worker.starts("a.0.0.0");
  EXPECT_GE(starts, 2u);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

TEST_F(SchedulerTest, StartsNothingWhileSuspendedAndCancelsJobsOfOthers)
{
  const JobRequest foreign = fixture.request("a", 2);
  submit(foreign);
  fixture.scheduler.suspend(fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 0u);
  JobRequest own = fixture.request("b", 1);
  own.key = JobKey(VmId("self"), JobId("b"), 99);
  submit(own);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  fixture.scheduler.resume(fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

TEST_F(SchedulerTest, AJobPastItsDeadlineIsStoppedAndEndsAsTimedOut)
{
  JobRequest job = fixture.request("a", 1, 6800, 1000);
  job.timeLeft = std::chrono::milliseconds(200);
  submit(job);
  fixture.advance(260);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::TimedOut);
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

TEST(ShardMap, DividesByPowersOfTwoAndIgnoresSmallChanges)
{
  const auto workers = [](unsigned count) {
    WorkerList list;
    for (unsigned i = 0; i < count; ++i) {
      WorkerRecord::Fields fields;
      fields.id = WorkerId("w" + std::to_string(i));
      fields.zone = ZoneName("z1");
      list[fields.id] = WorkerRecord(fields);
    }
    return list;
  };
  ShardMap map;
  EXPECT_FALSE(map.update(workers(40)));
  EXPECT_EQ(map.shards().size(), 1u);
  EXPECT_FALSE(map.update(workers(47))) << "too small a change";
  EXPECT_TRUE(map.update(workers(60)));
  EXPECT_EQ(map.shards().size(), 2u);
  EXPECT_FALSE(map.update(workers(36))) << "too small a change";
  EXPECT_TRUE(map.update(workers(30)));
  EXPECT_EQ(map.shards().size(), 1u);
  ShardMap large;
  large.update(workers(117));
  EXPECT_EQ(large.shards().size(), 4u);
}

} // namespace
} // namespace cowslippin::testing
