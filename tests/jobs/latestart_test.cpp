#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkerId w1("w1");
const WorkerId w2("w2");
const std::string task = "a.0.0.0";

/// Two workers that keep their ids when they start again.
class LateStart : public ::testing::Test
{
protected:
  LateStart()
  {
    for (const WorkerId& id : { w1, w2 }) {
      fixture.addWorker(id.value());
      fixture.restartWorker(id, 1);
    }
    fixture.take();
  }

  /// The task's start is late; the worker that will get it.
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

  /// Submits a job whose start is sent after a prompt report, and lets the
  /// worker restart in between. Reports that wait for an end stay unanswered.
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

/// Guards against a second run of a task whose late start is carried out by the
/// next life of its worker.
TEST_F(LateStart, OfATaskKeepsItFromAllOtherWorkers)
{
  const JobRequest job = fixture.request("a", 1, 6800, 2000);
  const WorkerId worker = startLate(job);
  fixture.drain(worker);
  fixture.delaysStarts = false;
  fixture.pass(400);
  EXPECT_EQ(fixture.workerOf(task), std::nullopt);
  fixture.restartUndetected(worker, 2);
  carryOutLateStarts();
  EXPECT_EQ(fixture.running(), 1u);
  ASSERT_NE(fixture.endOf(job), nullptr) << "it can't be placed in time";
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Unresolved);
  EXPECT_GT(fixture.endOf(job)->retryAfter, seconds(10));
  EXPECT_LE(fixture.endOf(job)->retryAfter, seconds(12));
}

TEST_F(LateStart, IsSentAgainToItsWorkerAtOnce)
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

/// Guards against the same where the run is lost with the life that it was in.
TEST_F(LateStart, OfATaskKeepsItFromOtherWorkersAlsoInTheNextLife)
{
  const JobRequest job = fixture.request("a", 1, 6800, 2000);
  const WorkerId worker = startLate(job);
  fixture.delaysStarts = false;
  fixture.settle();
  ASSERT_EQ(fixture.workerOf(task), worker);
  fixture.restartWorker(worker, 2);
  fixture.pass(100);
  EXPECT_EQ(fixture.workerOf(task), worker);
  carryOutLateStarts();
  EXPECT_EQ(fixture.running(), 1u);
}

/// Guards against the same where a caller submits the job again.
TEST_F(LateStart, OfACancelledJobKeepsItsTaskFromOtherWorkers)
{
  const JobRequest job = fixture.request("a", 1, 6800, 2000);
  const WorkerId worker = startLate(job);
  fixture.delaysStarts = false;
  fixture.scheduler.cancel(job.key, fixture.now);
  fixture.pass(400);
  fixture.drain(worker);
  const JobRequest again = fixture.request("a", 1, 6800, 2000);
  fixture.scheduler.submit(again, fixture.now);
  fixture.pass(100);
  EXPECT_EQ(fixture.running(), 0u);
  ASSERT_NE(fixture.endOf(again), nullptr);
  EXPECT_EQ(fixture.endOf(again)->outcome, JobOutcome::Unresolved);
}

TEST_F(LateStart, ThatAnotherHolderTellsOfKeepsTheTaskFromHere)
{
  fixture.scheduler.addUnresolved(
    { RunKey(task, 1), WorkerId("far"), fixture.now + seconds(9) });
  const JobRequest job = fixture.request("a", 1);
  fixture.scheduler.submit(job, fixture.now);
  fixture.pass(40);
  EXPECT_EQ(fixture.running(), 0u);
  ASSERT_NE(fixture.endOf(job), nullptr);
  EXPECT_EQ(fixture.endOf(job)->outcome, JobOutcome::Unresolved);
}

TEST_F(LateStart, IsToldToOtherHoldersAlsoWhenItsShardIsReleased)
{
  const WorkerId worker = startLate(fixture.request("a", 1, 6800, 2000));
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  ASSERT_EQ(fixture.unresolved.size(), 1u);
  EXPECT_EQ(fixture.unresolved[0].key, RunKey(task, 1));
  EXPECT_EQ(fixture.unresolved[0].worker, worker);
  EXPECT_EQ(fixture.unresolved[0].until, fixture.now + seconds(12));
}

/// Guards against exceeding the capacity of a life that begins between a prompt
/// report and the start that it allowed, and then carries out a late start.
TEST_F(LateStart, IsFencedARoundTripAfterAStartToARestartedWorker)
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
  EXPECT_EQ(fixture.running(), 1u);
}

} // namespace
} // namespace cowslippin::testing
