#include "schedulerfixture.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

class LossLogTest : public ::testing::Test
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

  /// Lets time pass while no order to a worker is answered.
  void passUnanswered(int milliseconds)
  {
    fixture.lostShare = 1;
    for (int passed = 0; passed < milliseconds; passed += 20) {
      fixture.now += std::chrono::milliseconds(20);
      fixture.deliver();
      fixture.scheduler.tick(fixture.now);
    }
  }

  LogCapture log;
  SchedulerFixture fixture;
};

/// Guards against restarts that can't be told from the many first starts in the
/// log.
TEST_F(LossLogTest, ARestartHasItsOwnEvent)
{
  submit(fixture.request("a", 1));
  const auto first = fixture.workerOf("a.0.0.0");
  fixture.end("a.0.0.0", RunEnd::Failed);
  ASSERT_EQ(log.of("task-started").size(), 1u);
  EXPECT_EQ(log.of("task-started")[0]["token"], 10);
  const auto lines = log.of("task-restarted");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["job"], "a");
  EXPECT_EQ(lines[0]["task"], 0);
  EXPECT_EQ(lines[0]["run"], 2);
  EXPECT_EQ(lines[0]["token"], 10);
  EXPECT_EQ(lines[0]["cause"], "failed");
  EXPECT_EQ(lines[0]["previousWorker"], first->value());
  EXPECT_EQ(lines[0]["sinceLossMs"], -1);
  EXPECT_EQ(fixture.scheduler.restartCounts().at(RestartCause::Failed), 1u);
}

TEST_F(LossLogTest, AnAbandonedJobLogsItsWaitAndItsStoppedRuns)
{
  submit(fixture.request("a", 2));
  fixture.scheduler.peerLost(VmId("gateway"), false, fixture.now);
  fixture.advance(260);
  const auto lines = log.of("job-abandoned");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["job"], "a");
  EXPECT_EQ(lines[0]["submitter"], "gateway");
  EXPECT_EQ(lines[0]["stoppedRuns"], 2);
  EXPECT_EQ(lines[0]["waitedMs"], 200);
}

TEST_F(LossLogTest, LogsThatAQuarantineHasExpired)
{
  JobRequest job = fixture.request("a", 1);
  job.mayHaveRun = true;
  job.quarantine = Quarantine{ std::nullopt,
                               std::chrono::milliseconds(100),
                               std::chrono::milliseconds(400) };
  submit(job);
  ASSERT_EQ(log.of("task-quarantined").size(), 1u);
  EXPECT_EQ(log.of("task-quarantined")[0]["leftMs"], 400);
  fixture.advance(500);
  const auto ends = log.of("quarantine-ended");
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0]["cause"], "time-passed");
  EXPECT_EQ(ends[0]["sinceLossMs"], 500);
  const auto starts = log.of("task-restarted");
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0]["cause"], "time-passed");
}

TEST_F(LossLogTest, LogsThatAllWorkersOfTheShardHaveReported)
{
  JobRequest job = fixture.request("a", 1);
  job.mayHaveRun = true;
  job.quarantine = Quarantine{ fixture.advertisedWorkers(),
                               {},
                               std::chrono::milliseconds(1200) };
  submit(job);
  fixture.advance(200);
  const auto ends = log.of("quarantine-ended");
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0]["cause"], "shard-claimed");
}

/// Guards against a task that is done without a log event.
TEST_F(LossLogTest, LogsATaskThatIsFoundDone)
{
  JobRequest job = fixture.request("a", 1);
  submit(job);
  fixture.scheduler.releaseShard(SchedulerFixture::shard(), fixture.now);
  fixture.workers[*fixture.workerOf("a.0.0.0")].end(RunKey("a.0.0.0", 1),
                                                    RunEnd::Done);
  fixture.scheduler.takeShard(SchedulerFixture::shard(), 20, fixture.now);
  fixture.settle();
  EXPECT_EQ(log.of("job-moved").at(0)["underWay"], 1);
  EXPECT_EQ(log.of("found-run-ended").size(), 1u);
  job.key = fixture.request("a", 1).key;
  job.mayHaveRun = true;
  submit(job);
  EXPECT_EQ(log.of("task-found-done").size(), 1u);
}

TEST_F(LossLogTest, AnUnansweredStopLogsItsTaskAndTimes)
{
  const JobRequest job = fixture.request("a", 1);
  submit(job);
  fixture.lostShare = 1;
  fixture.scheduler.cancel(job.key, fixture.now);
  EXPECT_EQ(log.of("job-cancelled").at(0)["stoppedRuns"], 1);
  passUnanswered(600);
  const auto lines = log.of("stop-unanswered");
  ASSERT_GE(lines.size(), 2u);
  EXPECT_EQ(lines[1]["task"], "a.0.0.0");
  EXPECT_EQ(lines[1]["sent"], 2);
  EXPECT_GT(lines[1]["sinceFirstMs"], lines[1]["sinceLastMs"]);
}

/// Guards against a record that doesn't say why a run was stopped.
TEST_F(LossLogTest, AStopOfACancelledJobLogsItsRunAndCause)
{
  const JobRequest job = fixture.request("a", 2);
  submit(job);
  const auto worker = fixture.workerOf("a.0.0.1");
  fixture.end("a.0.0.0", RunEnd::Done);
  EXPECT_TRUE(log.of("run-stopped").empty());
  fixture.scheduler.cancel(job.key, fixture.now);
  const auto lines = log.of("run-stopped");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["job"], "a");
  EXPECT_EQ(lines[0]["task"], 1);
  EXPECT_EQ(lines[0]["run"], 1);
  EXPECT_EQ(lines[0]["worker"], worker->value());
  EXPECT_EQ(lines[0]["cause"], "cancelled");
}

/// Guards against a record in which all stops have the same cause.
TEST_F(LossLogTest, EachStopLogsItsOwnCause)
{
  const auto stop = [this](const std::string& cause, auto act) {
    const std::size_t before = log.of("run-stopped").size();
    act();
    const auto lines = log.of("run-stopped");
    ASSERT_EQ(lines.size(), before + 1) << cause;
    EXPECT_EQ(lines.back()["cause"], cause);
  };
  stop("submitter-lost", [this] {
    submit(fixture.request("a", 1, 6800, 2000));
    fixture.scheduler.peerLost(VmId("gateway"), false, fixture.now);
    fixture.advance(260);
  });
  stop("exclusive-time-over", [this] {
    JobRequest job = fixture.request("b", 1, 6800, 2000);
    job.exclusiveFor = maxRunAfterContact;
    submit(job);
    fixture.advance(static_cast<int>(toMilliseconds(maxRunAfterContact)));
  });
  stop("suspended", [this] {
    submit(fixture.request("c", 1, 6800, 2000));
    fixture.scheduler.suspend(fixture.now);
    fixture.settle();
    fixture.scheduler.resume(fixture.now);
  });
  stop("job-failed", [this] {
    submit(fixture.request("d", 2, 6800, 2000));
    fixture.end("d.0.0.0", RunEnd::Failed);
    fixture.end("d.0.0.0", RunEnd::Failed);
  });
  stop("submitter-late", [this] {
    submit(fixture.request("e", 1, 6800, 2000));
    fixture.lastContacts[VmId("gateway")] = fixture.now;
    fixture.advance(880);
  });
}

/// Guards against a stalled run that is stopped without a record of the cause.
TEST_F(LossLogTest, AStopThatIsFollowedByARestartLogsItsCause)
{
  submit(fixture.request("a", 1));
  fixture.advance(2000);
  ASSERT_FALSE(log.of("run-stalled").empty());
  EXPECT_EQ(log.of("run-stopped").size(), log.of("run-stalled").size());
  EXPECT_EQ(log.of("run-stopped").at(0)["cause"], "stalled");
}

TEST_F(LossLogTest, AStopOfAStartWithoutAnAnswerLogsItsCause)
{
  fixture.lostShare = 1;
  // Long enough not to be taken for stalled before the answer is overdue.
  fixture.scheduler.submit(fixture.request("a", 1, 6800, 2000), fixture.now);
  passUnanswered(600);
  const auto lines = log.of("run-stopped");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["job"], "a");
  EXPECT_EQ(lines[0]["cause"], "start-unanswered");
}

TEST_F(LossLogTest, AnExpiredLeaseLogsItsTasks)
{
  submit(fixture.request("a", 1));
  passUnanswered(2000);
  const auto lines = log.of("lease-lapsed");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["runs"], 1);
  EXPECT_EQ(lines[0]["tasks"], "a.0.0.0");
  EXPECT_GT(lines[0]["sinceReportMs"], 750);
}

/// Guards against a run that is taken for over without a record.
TEST_F(LossLogTest, ARunThatIsPresumedOverLogsItsCause)
{
  submit(fixture.request("a", 1));
  const WorkerId worker = *fixture.workerOf("a.0.0.0");
  fixture.workers[worker] = FakeWorker();
  fixture.advance(200);
  const auto lines = log.of("run-presumed-over");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["level"], "warning");
  EXPECT_EQ(lines[0]["worker"], worker.value());
  EXPECT_EQ(lines[0]["task"], "a.0.0.0");
  EXPECT_EQ(lines[0]["run"], 1);
  EXPECT_EQ(lines[0]["token"], 10);
  EXPECT_EQ(lines[0]["cause"], "missing");
  EXPECT_EQ(lines[0]["isOrphaned"], false);
  EXPECT_GE(lines[0]["sinceStartMs"], lines[0]["sinceConfirmedMs"]);
  EXPECT_TRUE(lines[0]["sinceStopAnsweredMs"].is_null());
  EXPECT_GE(lines[0]["sinceRequestMs"], 0);
  EXPECT_LT(lines[0]["pastDeadlineMs"], 0);
}

TEST_F(LossLogTest, AnExpiredLeaseLogsEachRunThatIsPresumedOver)
{
  submit(fixture.request("a", 1));
  passUnanswered(2000);
  const auto lines = log.of("run-presumed-over");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["level"], "info");
  EXPECT_EQ(lines[0]["cause"], "lease-expired");
  EXPECT_TRUE(lines[0]["sinceRequestMs"].is_null());
}

/// Guards against a run that goes on after it was taken for over, of which
/// nothing is recorded.
TEST_F(LossLogTest, ARunThatReappearsLogsWhyItWasPresumedOver)
{
  submit(fixture.request("a", 1));
  const WorkerId worker = *fixture.workerOf("a.0.0.0");
  fixture.workers[worker] = FakeWorker();
  fixture.advance(100);
  ASSERT_EQ(log.of("run-presumed-over").size(), 1u);
  fixture.workers[worker].start(
    { 10, RunKey("a.0.0.0", 1), "spec", 60'000'000 }, fixture.now);
  EXPECT_TRUE(log.of("run-reappeared").empty());
  fixture.advance(400);
  const auto lines = log.of("run-reappeared");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["level"], "warning");
  EXPECT_EQ(lines[0]["worker"], worker.value());
  EXPECT_EQ(lines[0]["task"], "a.0.0.0");
  EXPECT_EQ(lines[0]["run"], 1);
  EXPECT_EQ(lines[0]["token"], 10);
  EXPECT_EQ(lines[0]["state"], "running");
  EXPECT_EQ(lines[0]["cause"], "missing");
  EXPECT_GT(lines[0]["sincePresumedMs"], 0);
  EXPECT_EQ(lines[0]["previousToken"], 10);
}

/// Guards against a start that is carried out although it was refused, of which
/// nothing is recorded.
TEST_F(LossLogTest, ARefusedStartThatEndsByItselfLogsItsRefusal)
{
  fixture.delaysStarts = true;
  fixture.scheduler.submit(fixture.request("a", 1), fixture.now);
  ASSERT_EQ(fixture.lateStarts.size(), 1u);
  const auto [worker, order] = fixture.lateStarts[0];
  fixture.scheduler.startAnswered(
    worker, order.key, OrderFailure::NoRoom, fixture.now);
  const auto rejected = log.of("start-rejected");
  ASSERT_EQ(rejected.size(), 1u);
  EXPECT_EQ(rejected[0]["worker"], worker.value());
  EXPECT_EQ(rejected[0]["run"], order.key.run());
  EXPECT_EQ(rejected[0]["token"], order.token);
  EXPECT_EQ(rejected[0]["reason"], "no-room");
  fixture.workers[worker].end(order.key, RunEnd::Done);
  fixture.advance(100);
  const auto lines = log.of("run-reappeared");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["cause"], "no-room");
  EXPECT_EQ(lines[0]["state"], "done");
}

TEST_F(LossLogTest, AnOrdinaryEndIsNotPresumed)
{
  const JobRequest job = fixture.request("a", 2);
  submit(job);
  fixture.end("a.0.0.0", RunEnd::Done);
  fixture.scheduler.cancel(job.key, fixture.now);
  fixture.settle();
  EXPECT_EQ(fixture.totalRuns(), 0u);
  EXPECT_TRUE(log.of("run-presumed-over").empty());
}

} // namespace
} // namespace cowslippin::testing
