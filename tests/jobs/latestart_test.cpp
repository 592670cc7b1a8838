#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkerId w1("w1");
const WorkerId w2("w2");
const std::string task = "a.0.0.0";

/// Two workers that keep their ids when they restart.
class LateStart : public ::testing::Test
{
protected:
  LateStart()
  {
    for (const WorkerId& id : { w1, w2 }) {
      fixture.addWorker(id.value());
      fixture.restartWorker(id, 1);
    }
    fixture.holdShard();
  }

  /// Submits a job whose start is delayed. Returns the worker that will receive
  /// the start.
  WorkerId startLate(const JobRequest& job)
  {
    fixture.delaysStarts = true;
    fixture.scheduler.submit(job, fixture.now);
    EXPECT_EQ(fixture.lateStarts.size(), 1u);
    return fixture.lateStarts.at(0).first;
  }

  /// Keeps tasks off all workers but this one.
  void drainOthers(const WorkerId& worker)
  {
    fixture.drain(worker == w1 ? w2 : w1);
  }

  /// Submits a job whose start is sent after a prompt report, and restarts the
  /// worker in between. Reports that are held back until a run ends stay
  /// unanswered.
  void startAcrossRestart(const JobRequest& job, const WorkerId& worker)
  {
    fixture.scheduler.submit(job, fixture.now);
    for (const auto& order : std::exchange(fixture.orders, {}))
      order();
    fixture.restartUndetected(worker, 2);
    fixture.deliver();
    EXPECT_EQ(fixture.workerOf(job.taskPrefix + "0"), worker);
  }

  void carryOutLateStarts()
  {
    for (const auto& [id, order] : std::exchange(fixture.lateStarts, {}))
      fixture.workers[id].start(order, fixture.now);
  }

  SchedulerFixture fixture;
};

/// Guards against a new holder that starts few tasks because each start needs a
/// report, although the last holder had no start without an answer.
TEST_F(LateStart, NoReportIsNeededAfterTheLastHoldersStatement)
{
  const auto startOne = [this](const std::string& job) {
    const unsigned before = fixture.promptReports;
    const JobRequest request = fixture.request(job, 1, 1000, 2000);
    fixture.scheduler.submit(request, fixture.now);
    fixture.settle();
    EXPECT_TRUE(fixture.workerOf(request.taskPrefix + "0"));
    return fixture.promptReports - before;
  };
  fixture.now += milliseconds(20);
  EXPECT_GT(startOne("a"), 0u);
  const auto shard = SchedulerFixture::shard();
  std::map<WorkerId, TimePoint> lateStarts{ { w1, fixture.now },
                                            { w2, fixture.now } };
  fixture.scheduler.limitEarlierHoldersStarts(
    shard, 10, lateStarts, fixture.now);
  fixture.now += milliseconds(20);
  EXPECT_EQ(startOne("b"), 0u);
  fixture.scheduler.expectEarlierHoldersStarts(shard, fixture.now);
  fixture.now += milliseconds(20);
  EXPECT_GT(startOne("c"), 0u);
}

/// Guards against a statement to the next holder that omits an unanswered
/// start.
TEST_F(LateStart, IsAmongThoseThatTheHolderTells)
{
  fixture.advance(12'500);
  const auto latest = [this](const WorkerId& worker) {
    return fixture.scheduler.lateStartsUntil(SchedulerFixture::shard())
      .at(worker);
  };
  EXPECT_LE(latest(w1), fixture.now);
  EXPECT_LE(latest(w2), fixture.now);
  const WorkerId worker = startLate(fixture.request("a", 1, 6800, 2000));
  EXPECT_EQ(latest(worker), fixture.now + seconds(12));
  EXPECT_LE(latest(worker == w1 ? w2 : w1), fixture.now);
}

/// Guards against a second run of a task whose late start is carried out by the
/// next incarnation of its worker.
TEST_F(LateStart, BindsTheTaskToItsWorker)
{
  const JobRequest job = fixture.request("a", 1, 6800, 2000);
  const WorkerId worker = startLate(job);
  fixture.drain(worker);
  fixture.delaysStarts = false;
  fixture.advance(400);
  EXPECT_EQ(fixture.workerOf(task), std::nullopt);
  fixture.restartUndetected(worker, 2);
  carryOutLateStarts();
  EXPECT_EQ(fixture.totalRuns(), 1u);
  ASSERT_NE(fixture.endOf(job), nullptr) << "it can't be placed in time";
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Unresolved);
  EXPECT_GT(fixture.endOf(job)->retryAfter, seconds(10));
  EXPECT_LE(fixture.endOf(job)->retryAfter, seconds(12));
}

TEST_F(LateStart, IsResentToItsWorkerAtOnce)
{
  const JobRequest job = fixture.request("a", 1);
  const WorkerId worker = startLate(job);
  fixture.delaysStarts = false;
  fixture.settle();
  EXPECT_EQ(fixture.workerOf(task), worker);
  fixture.end(task, RunEnd::Done);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Completed);
}

/// Guards against a second run of the task after its run was lost in a restart
/// of the worker: the late start may still be carried out there.
TEST_F(LateStart, BindsTheTaskAfterARestartOfItsWorker)
{
  const JobRequest job = fixture.request("a", 1, 6800, 2000);
  const WorkerId worker = startLate(job);
  fixture.delaysStarts = false;
  fixture.settle();
  ASSERT_EQ(fixture.workerOf(task), worker);
  fixture.restartWorker(worker, 2);
  fixture.advance(100);
  EXPECT_EQ(fixture.workerOf(task), worker);
  carryOutLateStarts();
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

/// Guards against a second run of the task when a caller submits the cancelled
/// job again.
TEST_F(LateStart, BindsTheTaskOfACancelledJob)
{
  const JobRequest job = fixture.request("a", 1, 6800, 2000);
  const WorkerId worker = startLate(job);
  fixture.delaysStarts = false;
  fixture.scheduler.cancel(job.key, fixture.now);
  fixture.advance(400);
  fixture.drain(worker);
  const JobRequest again = fixture.request("a", 1, 6800, 2000);
  fixture.scheduler.submit(again, fixture.now);
  fixture.advance(100);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  ASSERT_NE(fixture.endOf(again), nullptr);
  EXPECT_EQ(fixture.endOf(again)->outcome, JobOutcome::Unresolved);
}

TEST_F(LateStart, AnnouncedByAnotherHolderKeepsTheTaskFromStartingHere)
{
  fixture.scheduler.addUnresolvedStart(
    { RunKey(task, 1), WorkerId("far"), fixture.now + seconds(9) });
  const JobRequest job = fixture.request("a", 1);
  fixture.scheduler.submit(job, fixture.now);
  fixture.advance(40);
  EXPECT_EQ(fixture.totalRuns(), 0u);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Unresolved);
}

TEST_F(LateStart, IsAnnouncedWhenItsShardIsReleased)
{
  const WorkerId worker = startLate(fixture.request("a", 1, 6800, 2000));
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  ASSERT_EQ(fixture.unresolved.size(), 1u);
  EXPECT_EQ(fixture.unresolved[0].key, RunKey(task, 1));
  EXPECT_EQ(fixture.unresolved[0].worker, worker);
  EXPECT_EQ(fixture.unresolved[0].until, fixture.now + seconds(12));
}

/// Guards against exceeding the capacity of an incarnation that begins between
/// a prompt report and the start that the report allowed, and that then carries
/// out a late start.
TEST_F(LateStart, IsFencedOneRoundTripAfterAStartOnARestartedWorker)
{
  const JobRequest late = fixture.request("a", 1, 12000, 2000);
  const WorkerId worker = startLate(late);
  fixture.delaysStarts = false;
  fixture.scheduler.cancel(late.key, fixture.now);
  fixture.settle();
  drainOthers(worker);
  fixture.now += milliseconds(20);
  startAcrossRestart(fixture.request("b", 1, 12000, 2000), worker);
  carryOutLateStarts();
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

} // namespace
} // namespace cowslippin::testing
