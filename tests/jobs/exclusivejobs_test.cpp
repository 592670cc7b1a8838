#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// Jobs that another daemon may receive again after `maxRunAfterContact`, from
/// a submitter that is in contact all the time.
class ExclusiveJobs : public ::testing::Test
{
protected:
  ExclusiveJobs()
  {
    fixture.addWorker("w1");
    fixture.holdShard();
  }

  /// Two tasks fill the worker. They are long enough not to be taken for
  /// stalled.
  JobRequest exclusive(const std::string& name, unsigned tasks)
  {
    JobRequest request = fixture.request(name, tasks, 6800, 2000);
    request.exclusiveFor = maxRunAfterContact;
    return request;
  }

  JobRequest unlimited(const std::string& name, unsigned tasks)
  {
    return fixture.request(name, tasks, 6800, 2000);
  }

  void submit(const JobRequest& request)
  {
    fixture.scheduler.submit(request, fixture.now);
    fixture.settle();
  }

  bool isRunning(const std::string& task) const
  {
    return fixture.workerOf(task).has_value();
  }

  /// The shortest lease that a run may have when it is started.
  const Duration lease =
    maxRunAfterContact - Scheduler::Settings().maxContactAgeForStart;
  SchedulerFixture fixture;
};

/// Guards against a run that is started with the lease of its worker and lasts
/// beyond the time at which another daemon may receive its job again.
TEST_F(ExclusiveJobs, NoTaskIsStartedCloseToTheLimit)
{
  submit(unlimited("b", 2));
  submit(exclusive("a", 1));
  fixture.advance(520);
  fixture.end("b.0.0.0", RunEnd::Done);
  fixture.advance(20);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

/// Guards against reports that are requested again and again although no report
/// can shorten a worker's lease.
TEST_F(ExclusiveJobs, NoReportsAreRequestedIfTheLeaseIsTooLong)
{
  submit(unlimited("b", 2));
  submit(exclusive("a", 1));
  fixture.advance(520);
  fixture.end("b.0.0.0", RunEnd::Done);
  ASSERT_EQ(fixture.totalRuns(), 1u);
  const unsigned before = fixture.promptReports;
  fixture.advance(20);
  EXPECT_EQ(fixture.promptReports, before);
}

/// Guards against a limit that keeps jobs waiting that could still start.
TEST_F(ExclusiveJobs, ATaskThatCanEndBeforeTheLimitIsStarted)
{
  submit(unlimited("b", 2));
  submit(exclusive("a", 1));
  fixture.advance(static_cast<int>(toMilliseconds(maxRunAfterContact - lease)) -
                  30);
  fixture.end("b.0.0.0", RunEnd::Done);
  EXPECT_TRUE(isRunning("a.0.0.0"));
}

/// Guards against a job that took long to arrive and is given the whole
/// exclusive time.
TEST_F(ExclusiveJobs, AJobThatArrivesLateIsNotStarted)
{
  JobRequest request = exclusive("a", 1);
  request.exclusiveFor = lease - milliseconds(1);
  submit(request);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  fixture.scheduler.liftExclusivity(request.key, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

/// Guards against a job that never continues although the other daemons have
/// been told of it.
TEST_F(ExclusiveJobs, AJobWhoseLimitIsLiftedIsStartedAndRunsOn)
{
  submit(unlimited("b", 2));
  const JobRequest request = exclusive("a", 2);
  submit(request);
  fixture.advance(600);
  fixture.end("b.0.0.0", RunEnd::Done);
  fixture.end("b.0.0.1", RunEnd::Done);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  fixture.scheduler.liftExclusivity(request.key, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 2u);
  fixture.advance(1400);
  EXPECT_EQ(fixture.totalRuns(), 2u);
  EXPECT_EQ(fixture.endOf(request), nullptr);
}

/// Guards against an effect of lifting the limit of a job that has ended
/// meanwhile.
TEST_F(ExclusiveJobs, LiftingTheLimitOfAnUnknownJobDoesNothing)
{
  const JobRequest request = exclusive("a", 1);
  fixture.scheduler.liftExclusivity(request.key, fixture.now);
  submit(request);
  fixture.advance(1240);
  EXPECT_NE(fixture.endOf(request), nullptr);
}

/// Guards against a run that continues under its lease when the stop is lost:
/// the job may be in progress at another daemon by then.
TEST_F(ExclusiveJobs, LeasesExpireInTimeEvenIfNoStopArrives)
{
  submit(exclusive("a", 2));
  fixture.advance(1000);
  ASSERT_EQ(fixture.totalRuns(), 2u);
  fixture.areStopsLost = true;
  fixture.advance(240);
  for (auto& [id, worker] : fixture.workers)
    worker.expireLease(fixture.now);
  EXPECT_EQ(fixture.totalRuns(), 0u);
}

/// Guards against other runs of a worker that end because an exclusive job
/// limits the worker's lease.
TEST_F(ExclusiveJobs, OtherRunsOnTheWorkerContinueWhenAJobEnds)
{
  const JobRequest other = unlimited("b", 1);
  const JobRequest request = exclusive("a", 1);
  submit(other);
  submit(request);
  ASSERT_EQ(fixture.totalRuns(), 2u);
  fixture.advance(1160);
  EXPECT_TRUE(isRunning("a.0.0.0"));
  fixture.advance(40);
  EXPECT_FALSE(isRunning("a.0.0.0")) << "stopped before the limit";
  ASSERT_NE(fixture.endOf(request), nullptr);
  EXPECT_EQ(fixture.endOf(request)->outcome, JobOutcome::TimedOut);
  fixture.advance(600);
  EXPECT_TRUE(isRunning("b.0.0.0"));
  EXPECT_EQ(fixture.endOf(other), nullptr);
}

/// Guards against a job whose limit is lifted while it has no holder, and that
/// is ended by the daemon that still has it.
TEST_F(ExclusiveJobs, AJobHandedOverAgainWithoutALimitRunsOn)
{
  const JobRequest request = exclusive("a", 1);
  submit(request);
  fixture.advance(400);
  fixture.scheduler.peerLost(request.key.submitter(), false, fixture.now);
  JobRequest again = unlimited("a", 1);
  again.previousPart = request.key.part();
  again.mayHaveRun = true;
  submit(again);
  fixture.advance(1400);
  EXPECT_EQ(fixture.endOf(again), nullptr);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

/// Guards against a job that gets its exclusive time anew each time that it is
/// handed over.
TEST_F(ExclusiveJobs, AJobHandedOverAgainGetsNoMoreTime)
{
  const JobRequest request = exclusive("a", 1);
  submit(request);
  fixture.advance(400);
  fixture.scheduler.peerLost(request.key.submitter(), false, fixture.now);
  JobRequest again = exclusive("a", 1);
  again.previousPart = request.key.part();
  again.mayHaveRun = true;
  submit(again);
  fixture.advance(840);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  EXPECT_NE(fixture.endOf(again), nullptr);
}

} // namespace
} // namespace cowslippin::testing
