#include "libentry/gateway.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <vector>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const VmId self("self");
const VmId first("holder-1");
const VmId second("holder-2");
const ShardId home(ZoneName("z1"), 0);
const ShardId abroad(ZoneName("z2"), 0);

class GatewayTest : public ::testing::Test
{
protected:
  GatewayTest()
    : gateway(self, Gateway::Settings(), hooks())
  {
    holders[home] = first;
  }

  Gateway::Hooks hooks()
  {
    Gateway::Hooks hooks;
    hooks.nextHolder =
      [this](const ShardId& shard) -> std::optional<HolderChoice> {
      const auto found = holders.find(shard);
      if (found == holders.end() && shard.count() == 1)
        return std::nullopt;
      HolderChoice choice;
      // What was divided before is one shard now.
      choice.holder = found == holders.end() ? second : found->second;
      choice.shard = found == holders.end() ? home : shard;
      return choice;
    };
    hooks.bestHolder =
      [this](
        const std::set<ShardId>& refusedBy) -> std::optional<HolderChoice> {
      for (const auto& [shard, holder] : holders) {
        if (refusedBy.count(shard) > 0)
          continue;
        HolderChoice choice;
        choice.holder = holder;
        choice.shard = shard;
        choice.places = places;
        return choice;
      }
      return std::nullopt;
    };
    hooks.areAllEvacuated = [this] { return areAllEvacuated; };
    hooks.workers = [this](const VmId&, const ShardId&) { return told; };
    hooks.submit = [this](const VmId& vm, const JobRequest& request) {
      sent.emplace_back(vm, request);
      return true;
    };
    hooks.cancel = [this](const VmId& vm, const JobKey& key) {
      cancelled.emplace_back(vm, key);
    };
    return hooks;
  }

  Gateway::Ticket submit(const std::string& job, unsigned tasks = 3)
  {
    JobSubmission submission;
    submission.job = JobId(job);
    submission.taskPrefix = job + ".0.0.";
    submission.taskCount = tasks;
    submission.needs.estimate = milliseconds(100);
    submission.policy.target = milliseconds(60);
    submission.timeLeft = std::chrono::seconds(5);
    return gateway.submit(
      submission,
      [this](const JobAnswer& answer) { answers.push_back(answer); },
      now);
  }

  void end(std::size_t index, JobOutcome outcome)
  {
    JobEnd end;
    end.outcome = outcome;
    if (outcome == JobOutcome::Completed)
      end.done = sent[index].second.tasks;
    gateway.ended(sent[index].first, sent[index].second.key, end, now);
  }

  void returnTasks(std::size_t index, std::vector<TaskIndex> tasks)
  {
    TasksReturned returned;
    returned.tasks = std::move(tasks);
    returned.holder = second;
    returned.shard = abroad;
    returned.nextRun = 4;
    gateway.returned(sent[index].first, sent[index].second.key, returned, now);
  }

  bool areAllEvacuated = false;
  std::optional<ShardDigest> told = 77;
  /// That each holder tells of.
  unsigned places = 0;
  TimePoint now{ std::chrono::seconds(100) };
  std::map<ShardId, VmId> holders;
  std::vector<std::pair<VmId, JobRequest>> sent;
  std::vector<std::pair<VmId, JobKey>> cancelled;
  std::vector<JobAnswer> answers;
  Gateway gateway;
};

TEST_F(GatewayTest, HandsAJobToTheHolderAndAnswersItsEnd)
{
  submit("a");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].first, first);
  EXPECT_EQ(sent[0].second.tasks, (std::vector<TaskIndex>{ 0, 1, 2 }));
  EXPECT_FALSE(sent[0].second.mayHaveRun);
  end(0, JobOutcome::Completed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Completed);
  EXPECT_EQ(gateway.waiting(), 0u);
}

/// Without these ages it can't be read from a log why a run was stopped while
/// another was at work.
TEST_F(GatewayTest, TheLogTellsWhenAndWhyAJobLostItsCaller)
{
  LogCapture log;
  const Gateway::Ticket ticket = submit("a");
  submit("b");
  now += milliseconds(300);
  submit("b");
  gateway.callerGone(ticket, now);
  now += std::chrono::seconds(5);
  gateway.tick(now);
  const std::vector<std::pair<const char*, int>> expected = {
    { "caller-gone", 300 },
    { "caller-joined", 300 },
    { "caller-timed-out", 5300 },
  };
  for (const auto& [event, ageMs] : expected) {
    const auto lines = log.of(event);
    ASSERT_EQ(lines.size(), 1u) << event;
    EXPECT_EQ(lines[0]["ageMs"], ageMs) << event;
  }
}

TEST_F(GatewayTest, AJobThatNobodyStartedIsRefusedAsNotRun)
{
  submit("a");
  end(0, JobOutcome::Refused);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
}

/// A zone of 24 workers was divided into four shards, five zones into 20. In a
/// burst of twice what the workers can do each job that was refused had asked
/// all 20: 7,721 refusals by holders for 1,579 jobs that they took.
TEST_F(GatewayTest, InABurstOnlySoManyShardsAreAskedBeforeARefusal)
{
  for (unsigned index = 0; index < 20; ++index)
    holders[ShardId(ZoneName("z3"), index, 20)] = second;
  submit("a");
  for (std::size_t asked = 0; answers.empty() && asked < 30; ++asked)
    end(asked, JobOutcome::Refused);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_EQ(sent.size(), Gateway::Settings().mostAsked);
}

TEST_F(GatewayTest, AJobIsNotRefusedWhileAShardTellsOfRoom)
{
  for (unsigned index = 0; index < 20; ++index)
    holders[ShardId(ZoneName("z3"), index, 20)] = second;
  places = 1;
  submit("a");
  for (std::size_t asked = 0; asked < 10; ++asked)
    end(asked, JobOutcome::Refused);
  EXPECT_TRUE(answers.empty());
  places = 0;
  end(10, JobOutcome::Refused);
  EXPECT_EQ(answers.size(), 1u);
}

TEST_F(GatewayTest, AJobIsRefusedOnlyWhenEveryShardHasRefusedIt)
{
  holders[abroad] = second;
  submit("a");
  JobEnd full;
  full.outcome = JobOutcome::Refused;
  full.retryAfter = milliseconds(700);
  gateway.ended(first, sent[0].second.key, full, now);
  EXPECT_TRUE(answers.empty());
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].first, second);
  EXPECT_FALSE(sent[1].second.mayHaveRun);
  full.retryAfter = milliseconds(900);
  gateway.ended(second, sent[1].second.key, full, now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_EQ(answers[0].retryAfter, milliseconds(700))
    << "when the first of them expects room";
}

TEST_F(GatewayTest, AJobWhoseHolderWasLostIsNeverCalledNotRun)
{
  submit("a");
  gateway.daemonLost(first, now);
  holders[home] = second;
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_TRUE(sent[1].second.mayHaveRun);
  ASSERT_TRUE(sent[1].second.quarantine);
  EXPECT_EQ(sent[1].second.quarantine->lastHolders, (ShardWorkers{ home, 77 }));
  end(1, JobOutcome::Refused);
  for (const JobAnswer& answer : answers)
    EXPECT_NE(answer.kind, JobAnswer::Kind::NotRun);
}

TEST_F(GatewayTest, RunsThatMayBeLeftInTwoShardsAreNotKnownByAnyOfThem)
{
  const ShardId half(ZoneName("z1"), 1, 2);
  holders = { { half, first } };
  submit("a");
  holders.clear();
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.shard, home);
  EXPECT_EQ(sent[1].second.quarantine->lastHolders, (ShardWorkers{ half, 77 }));
  now += milliseconds(1200);
  gateway.daemonLost(second, now);
  holders = { { home, first } };
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 3u);
  ASSERT_TRUE(sent[2].second.quarantine);
  EXPECT_FALSE(sent[2].second.quarantine->lastHolders);
}

TEST_F(GatewayTest, RunsThatMayBeLeftByTwoHoldersOfAShardAreKnownByNeither)
{
  submit("a");
  gateway.daemonLost(first, now);
  holders[home] = second;
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  now += milliseconds(500);
  gateway.daemonLost(second, now);
  holders[home] = first;
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 3u);
  EXPECT_FALSE(sent[2].second.quarantine->lastHolders)
    << "the second may have known fewer workers than the first";
  now += milliseconds(1500);
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 4u);
  EXPECT_TRUE(sent[3].second.quarantine->lastHolders);
}

TEST_F(GatewayTest, AHolderThatToldNothingOfItsWorkersLeavesThemUnknown)
{
  told.reset();
  submit("a");
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_FALSE(sent[1].second.quarantine->lastHolders);
}

TEST_F(GatewayTest, ALostPartStartsElsewhereOnlyWhenItsRunsAreSurelyOver)
{
  submit("a");
  gateway.daemonLost(first, now);
  holders.erase(home);
  holders[abroad] = second;
  now += milliseconds(1200);
  gateway.tick(now);
  EXPECT_EQ(sent.size(), 1u);
  now += milliseconds(100);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].first, second);
  EXPECT_FALSE(sent[1].second.quarantine);
}

TEST_F(GatewayTest, ReturnedTasksGoToTheNamedHolderAndBothPartsMustEnd)
{
  submit("a");
  returnTasks(0, { 1, 2 });
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].first, second);
  EXPECT_EQ(sent[1].second.tasks, (std::vector<TaskIndex>{ 1, 2 }));
  EXPECT_EQ(sent[1].second.firstRun, 4u);
  EXPECT_FALSE(sent[1].second.mayBeReturned);
  EXPECT_FALSE(sent[1].second.mayHaveRun) << "it may still be refused";
  end(0, JobOutcome::Completed);
  EXPECT_TRUE(answers.empty());
  end(1, JobOutcome::Completed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Completed);
}

/// Guards against a job answered as completed after returned tasks were lost.
TEST_F(GatewayTest, TasksThatACompletedPartDoesNotReportAsDoneArePlacedAgain)
{
  submit("a");
  JobEnd end;
  end.outcome = JobOutcome::Completed;
  end.done = { 0 };
  end.nextRun = 9;
  gateway.ended(sent[0].first, sent[0].second.key, end, now);
  EXPECT_TRUE(answers.empty());
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.tasks, (std::vector<TaskIndex>{ 1, 2 }));
  EXPECT_EQ(sent[1].second.firstRun, 9u);
  EXPECT_TRUE(sent[1].second.mayHaveRun);
  this->end(1, JobOutcome::Completed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Completed);
}

TEST_F(GatewayTest, APartThatTheNamedHolderRefusesGoesHomeAndIsNotCalledNotRun)
{
  submit("a");
  returnTasks(0, { 2 });
  end(1, JobOutcome::Refused);
  ASSERT_EQ(sent.size(), 3u);
  EXPECT_EQ(sent[2].first, first);
  EXPECT_TRUE(sent[2].second.mayHaveRun);
  EXPECT_TRUE(answers.empty());
}

TEST_F(GatewayTest, TasksOfAnEvacuatedZoneGoWhereTheSubmitterFindsAHolder)
{
  submit("a");
  holders = { { abroad, second } };
  TasksReturned returned;
  returned.tasks = { 1, 2 };
  returned.nextRun = 2;
  gateway.returned(first, sent[0].second.key, returned, now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].first, second);
  EXPECT_EQ(sent[1].second.shard, abroad);
  EXPECT_EQ(sent[1].second.tasks, (std::vector<TaskIndex>{ 1, 2 }));
  EXPECT_TRUE(sent[1].second.mayHaveRun) << "a part of a job waits for room";
}

TEST_F(GatewayTest, WhereAllZonesAreEvacuatedAJobIsRefusedAtOnce)
{
  holders.clear();
  areAllEvacuated = true;
  submit("a");
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_GT(answers[0].retryAfter, Duration::zero());
}

TEST_F(GatewayTest, AFailedPartFailsTheJobAndTheOthersAreCancelled)
{
  submit("a");
  returnTasks(0, { 2 });
  end(1, JobOutcome::Failed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Failed);
  ASSERT_FALSE(cancelled.empty());
  EXPECT_EQ(cancelled[0].first, first);
}

TEST_F(GatewayTest, WhatIsSaidOfAnEarlierHandingOverIsNotHeeded)
{
  submit("a");
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.previousPart, sent[0].second.key.part());
  end(0, JobOutcome::Completed);
  returnTasks(0, { 1 });
  EXPECT_TRUE(answers.empty());
  EXPECT_EQ(sent.size(), 2u);
}

TEST_F(GatewayTest, AMovedPartGoesOnWithWhatIsNotDone)
{
  submit("a");
  holders[home] = second;
  JobEnd moved;
  moved.outcome = JobOutcome::Moved;
  moved.done = { 0, 2 };
  moved.nextRun = 12;
  gateway.ended(first, sent[0].second.key, moved, now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.tasks, std::vector<TaskIndex>{ 1 });
  EXPECT_EQ(sent[1].second.firstRun, 12u);
  EXPECT_TRUE(sent[1].second.quarantine);
}

TEST_F(GatewayTest, HowManyWorkersWereLostWithATaskIsPassedOn)
{
  submit("a");
  JobEnd moved;
  moved.outcome = JobOutcome::Moved;
  moved.crashes = { { 1, 2 } };
  gateway.ended(first, sent[0].second.key, moved, now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.crashes, moved.crashes);
}

TEST_F(GatewayTest, WhereAMovedPartsRunsAreIsPassedOn)
{
  submit("a");
  JobEnd moved;
  moved.outcome = JobOutcome::Moved;
  moved.done = { 0 };
  moved.underWay = { { 2, WorkerId("w7") } };
  gateway.ended(first, sent[0].second.key, moved, now);
  ASSERT_EQ(sent.size(), 2u);
  ASSERT_TRUE(sent[1].second.quarantine);
  EXPECT_EQ(sent[1].second.quarantine->underWay, moved.underWay);
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 3u);
  ASSERT_TRUE(sent[2].second.quarantine);
  EXPECT_FALSE(sent[2].second.quarantine->underWay)
    << "what it has started since isn't known";
}

TEST_F(GatewayTest, TheSameJobAgainIsJoinedAndNotBegunTwice)
{
  submit("a");
  submit("a");
  EXPECT_EQ(sent.size(), 1u);
  end(0, JobOutcome::Completed);
  EXPECT_EQ(answers.size(), 2u);
}

TEST_F(GatewayTest, TheLastCallerToLeaveCancelsTheJob)
{
  const Gateway::Ticket one = submit("a");
  const Gateway::Ticket two = submit("a");
  gateway.callerGone(one, now);
  EXPECT_TRUE(cancelled.empty());
  gateway.callerGone(two, now);
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].second, sent[0].second.key);
  EXPECT_EQ(gateway.waiting(), 0u);
}

TEST_F(GatewayTest, WithoutAnyHolderAJobIsRefusedWithinAQuarterOfItsIdealTime)
{
  holders.clear();
  submit("a");
  now += milliseconds(20);
  gateway.tick(now);
  EXPECT_TRUE(answers.empty());
  now += milliseconds(20);
  gateway.tick(now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_GT(answers[0].retryAfter, Duration::zero());
}

TEST_F(GatewayTest, AJobWithAnUnresolvedStartIsAnsweredAtOnceWithWhenToComeBack)
{
  submit("a");
  ASSERT_EQ(sent.size(), 1u);
  JobEnd end;
  end.outcome = JobOutcome::Unresolved;
  end.retryAfter = std::chrono::seconds(11);
  gateway.ended(first, sent[0].second.key, end, now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(answers[0].retryAfter, std::chrono::seconds(11));
}

TEST_F(GatewayTest, AJobWhoseTimeIsOverIsCancelledAndItsOutcomeUnknown)
{
  submit("a");
  now += std::chrono::seconds(6);
  gateway.tick(now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(cancelled.size(), 1u);
}

} // namespace
} // namespace cowslippin::testing
