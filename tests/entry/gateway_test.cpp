#include "libentry/gateway.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
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
    hooks.keep = [this](const VmId& vm, const JobKey& key) {
      kept.emplace_back(vm, key);
    };
    hooks.toldUntil = [this] { return toldUntil.value_or(now); };
    hooks.underWayAt = [this](const JobId& job) {
      const auto found = elsewhere.find(job);
      return found == elsewhere.end() ? std::nullopt
                                      : std::make_optional(found->second);
    };
    hooks.recall = [this](const VmId& vm, const PeerRecall& recall) {
      recalled.emplace_back(vm, recall.job);
    };
    return hooks;
  }

  Gateway::Ticket submit(const std::string& job,
                         unsigned tasks = 3,
                         Duration unreadFor = Duration::zero())
  {
    JobSubmission submission;
    submission.job = JobId(job);
    submission.taskPrefix = job + ".0.0.";
    submission.taskCount = tasks;
    submission.needs.estimate = milliseconds(100);
    submission.policy.target = milliseconds(60);
    submission.timeLeft = std::chrono::seconds(5);
    submission.unreadFor = unreadFor;
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

  /// Time passes without the ticks in between.
  void passTo(TimePoint at)
  {
    now = at;
    gateway.tick(now);
  }

  /// A job that is under way for long enough to be told to others, and whose
  /// caller has left.
  void giveUp(const std::string& job)
  {
    const Gateway::Ticket ticket = submit(job);
    now += tellAfter;
    gateway.callerGone(ticket, now);
  }

  const Duration tellAfter = Gateway::Settings().tellAfter;
  const Duration untoldMargin = Gateway::Settings().untoldMargin;
  const VmId other{ "other" };
  const JobId a{ "a" };

  bool areAllEvacuated = false;
  std::optional<ShardDigest> told = 77;
  /// That each holder tells of.
  unsigned places = 0;
  TimePoint now{ std::chrono::seconds(100) };
  std::map<ShardId, VmId> holders;
  std::vector<std::pair<VmId, JobRequest>> sent;
  std::vector<std::pair<VmId, JobKey>> cancelled;
  std::vector<std::pair<VmId, JobKey>> kept;
  std::vector<std::pair<VmId, JobId>> recalled;
  /// Where jobs are under way, by other daemons' word.
  std::map<JobId, KnownJobs::Place> elsewhere;
  /// Until when the other daemons have been told; always if it isn't set.
  std::optional<TimePoint> toldUntil;
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

/// Guards against leases that outlast the time at which a lost caller submits
/// again: nothing else ends them while gateway and holder are in touch.
TEST_F(GatewayTest, AHolderIsToldForHowLongAJobIsExclusive)
{
  submit("a");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].second.exclusiveFor, wantedRunLimit);
  now += milliseconds(300);
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.exclusiveFor, wantedRunLimit - milliseconds(300));
}

/// Guards against a request that waited to be read and whose caller may have
/// been gone since.
TEST_F(GatewayTest, TheTimeInWhichARequestWaitedCounts)
{
  submit("a", 3, milliseconds(500));
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].second.exclusiveFor, wantedRunLimit - milliseconds(500));
  EXPECT_EQ(gateway.longJobs(now).size(), 1u) << "told at once";
}

/// Guards against long jobs that all end though everybody knows of them.
TEST_F(GatewayTest, HoldersKeepAJobOnceTheOthersHaveBeenTold)
{
  submit("a");
  const TimePoint longFrom = now + tellAfter;
  toldUntil = longFrom - Duration(1);
  passTo(longFrom + milliseconds(20));
  EXPECT_TRUE(kept.empty()) << "told of what was before";
  EXPECT_TRUE(gateway.hasUntoldJobs(now));
  toldUntil = longFrom;
  gateway.tick(now);
  ASSERT_EQ(kept.size(), 1u);
  EXPECT_EQ(kept[0], std::pair(first, sent[0].second.key));
  EXPECT_FALSE(gateway.hasUntoldJobs(now));
  gateway.daemonLost(first, now);
  gateway.tick(now);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].second.exclusiveFor, Duration::max());
  EXPECT_EQ(kept.size(), 1u) << "once";
}

/// Guards against a keep for a job that no heartbeat has listed yet.
TEST_F(GatewayTest, AShortJobIsNotKept)
{
  submit("a");
  passTo(now + tellAfter - Duration(1));
  EXPECT_TRUE(kept.empty());
  EXPECT_FALSE(gateway.hasUntoldJobs(now));
}

/// Guards against a job of which one part is kept and another one ends.
TEST_F(GatewayTest, EachHolderOfAPartKeepsIt)
{
  submit("a");
  returnTasks(0, { 1, 2 });
  ASSERT_EQ(sent.size(), 2u);
  passTo(now + tellAfter);
  ASSERT_EQ(kept.size(), 2u);
  EXPECT_EQ(kept[0], std::pair(first, sent[0].second.key));
  EXPECT_EQ(kept[1], std::pair(second, sent[1].second.key));
}

/// Guards against a run beside that of the next submission, of which no daemon
/// can tell this one.
TEST_F(GatewayTest, AJobOfWhichTheOthersCannotBeToldEndsBeforeItMayComeAgain)
{
  const TimePoint exclusiveUntil = now + wantedRunLimit;
  toldUntil = now;
  submit("a");
  passTo(exclusiveUntil - untoldMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  EXPECT_TRUE(cancelled.empty());
  passTo(exclusiveUntil - untoldMargin);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(answers[0].retryAfter, lostRunLimit);
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].second, sent[0].second.key);
}

/// Guards against a gateway's cancel that reaches the holder only when the
/// leases of its workers have to end with the job.
TEST(GatewayBounds, AnUntoldJobEndsAtItsGatewayBeforeItEndsAtItsHolder)
{
  EXPECT_GT(Gateway::Settings().untoldMargin, exclusiveMargin);
  EXPECT_LT(Gateway::Settings().tellAfter + milliseconds(450),
            wantedRunLimit - Gateway::Settings().untoldMargin)
    << "time for three heartbeats";
}

/// Guards against a heartbeat that leaves out a job, which would be taken for
/// over.
TEST_F(GatewayTest, JobsUnderWayForLongAreListedWithTheirAges)
{
  submit("a");
  now += milliseconds(200);
  submit("b");
  now += tellAfter - milliseconds(200) - Duration(1);
  EXPECT_TRUE(gateway.longJobs(now).empty());
  now += Duration(1);
  EXPECT_EQ(gateway.longJobs(now),
            (std::vector<LongJob>{ { a, milliseconds(450) } }));
  now += milliseconds(200);
  EXPECT_EQ(gateway.longJobs(now),
            (std::vector<LongJob>{ { a, milliseconds(650) },
                                   { JobId("b"), milliseconds(450) } }));
}

/// Guards against a job that is begun elsewhere while the runs of one that was
/// given up are being stopped.
TEST_F(GatewayTest, AJobGivenUpStaysListedUntilItsRunsAreOver)
{
  giveUp("a");
  const TimePoint overAt = now + lostRunLimit;
  const std::vector<LongJob> listed = { { a, Duration::zero() } };
  EXPECT_EQ(gateway.longJobs(now), listed);
  passTo(overAt - Duration(1));
  EXPECT_EQ(gateway.longJobs(now), listed);
  passTo(overAt);
  EXPECT_TRUE(gateway.longJobs(now).empty());
}

/// Guards against a job given up whose last runs were those of a lost holder.
TEST_F(GatewayTest, AJobGivenUpWithoutAHolderStaysListedAsWell)
{
  const Gateway::Ticket ticket = submit("a");
  now += tellAfter;
  gateway.daemonLost(first, now);
  gateway.callerGone(ticket, now);
  EXPECT_EQ(gateway.longJobs(now).size(), 1u);
}

/// Guards against a second submission of an answered job that waits for runs
/// that have ended.
TEST_F(GatewayTest, ACompletedJobIsNoLongerListed)
{
  submit("a");
  now += tellAfter;
  end(0, JobOutcome::Completed);
  EXPECT_TRUE(gateway.longJobs(now).empty());
  submit("a");
  EXPECT_EQ(sent.size(), 2u);
}

/// Guards against a job that runs for its lost caller beside its next
/// submission's.
TEST_F(GatewayTest, ARecalledJobIsStoppedAndTheTimeThatThisTakesTold)
{
  submit("a");
  now += tellAfter;
  EXPECT_EQ(gateway.recall(other, { a }, now), lostRunLimit);
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].second, sent[0].second.key);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  now += milliseconds(100);
  EXPECT_EQ(gateway.recall(other, { a }, now), lostRunLimit - milliseconds(100))
    << "the answer may have been lost with the connection";
}

/// Guards against an answer by which a job that is at work counts as over.
TEST_F(GatewayTest, ARecalledJobThatIsNotListedYetIsNotOverEither)
{
  submit("a");
  now += milliseconds(100);
  EXPECT_GT(gateway.recall(other, { a }, now), Duration::zero());
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against a caller that waits for runs that have ended.
TEST_F(GatewayTest, ARecalledJobThatHasEndedIsOver)
{
  submit("a");
  now += tellAfter;
  end(0, JobOutcome::Completed);
  EXPECT_EQ(gateway.recall(other, { a }, now), Duration::zero());
  EXPECT_EQ(gateway.recall(other, { JobId("b") }, now), Duration::zero());
}

/// Guards against a job begun here while it is at work for another daemon.
TEST_F(GatewayTest, AJobThatAnotherDaemonListsIsRecalledBeforeItIsPlaced)
{
  elsewhere[a] = { other, TimePoint() };
  submit("a");
  ASSERT_EQ(recalled.size(), 1u);
  EXPECT_EQ(recalled[0], std::pair(other, a));
  passTo(now + milliseconds(20));
  EXPECT_TRUE(sent.empty());
  gateway.recalled(second, a, Duration::zero(), now);
  EXPECT_TRUE(sent.empty()) << "it wasn't asked";
  elsewhere.clear();
  gateway.recalled(other, a, Duration::zero(), now);
  EXPECT_EQ(sent.size(), 1u);
  gateway.recalled(other, a, Duration::zero(), now);
  EXPECT_EQ(sent.size(), 1u) << "a second answer";
  EXPECT_EQ(recalled.size(), 1u);
}

/// Guards against a second run while the first is being stopped.
TEST_F(GatewayTest, ARecalledJobIsHeldUntilWhatRanOfItIsOver)
{
  elsewhere[a] = { other, TimePoint() };
  submit("a");
  const TimePoint overAt = now + milliseconds(300);
  gateway.recalled(other, a, milliseconds(300), now);
  gateway.recalled(other, a, Duration::zero(), now);
  EXPECT_TRUE(sent.empty()) << "a second answer";
  elsewhere.clear();
  passTo(overAt - Duration(1));
  EXPECT_TRUE(sent.empty());
  EXPECT_TRUE(answers.empty());
  passTo(overAt);
  EXPECT_EQ(sent.size(), 1u);
}

/// Guards against a job that is held and then begun though meanwhile a third
/// daemon has it.
TEST_F(GatewayTest, AfterAHoldItIsAskedAgainWhereAJobIsUnderWay)
{
  elsewhere[a] = { other, TimePoint() };
  submit("a");
  gateway.recalled(other, a, milliseconds(300), now);
  elsewhere[a] = { second, TimePoint() };
  passTo(now + milliseconds(300));
  EXPECT_TRUE(sent.empty());
  ASSERT_EQ(recalled.size(), 2u);
  EXPECT_EQ(recalled[1].first, second);
}

/// Guards against a caller that waits for nothing: it can come again in time.
TEST_F(GatewayTest, AJobHeldForLongerThanItsTimeIsAnsweredWithWhenToComeBack)
{
  elsewhere[a] = { other, TimePoint() };
  submit("a");
  gateway.recalled(other, a, milliseconds(4900), now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(answers[0].retryAfter, milliseconds(4900));
  EXPECT_TRUE(sent.empty());
  EXPECT_EQ(gateway.waiting(), 0u);
}

/// Guards against a job that waits for the answer of a daemon that is gone, or
/// is begun while that one's runs are at work.
TEST_F(GatewayTest, AJobRecalledFromADaemonThatIsLostIsHeldUntilItsRunsAreOver)
{
  elsewhere[a] = { other, TimePoint() };
  submit("a");
  elsewhere.clear();
  gateway.daemonLost(other, now);
  const TimePoint overAt = now + lostRunLimit;
  // It is known to others by then, and so goes on.
  passTo(now + tellAfter);
  passTo(overAt - Duration(1));
  EXPECT_TRUE(sent.empty());
  passTo(overAt);
  EXPECT_EQ(sent.size(), 1u);
}

/// Guards against a second run beside those that a lost daemon left.
TEST_F(GatewayTest, AJobOfADaemonThatIsLostAlreadyIsHeld)
{
  const TimePoint overAt = now + milliseconds(800);
  elsewhere[a] = { std::nullopt, overAt };
  submit("a");
  EXPECT_TRUE(recalled.empty());
  elsewhere.clear();
  passTo(overAt - Duration(1));
  EXPECT_TRUE(sent.empty());
  passTo(overAt);
  EXPECT_EQ(sent.size(), 1u);
}

/// Guards against a second run where the caller finds the daemon again that has
/// just given up its job.
TEST_F(GatewayTest, AJobThatComesAgainWhileItsRunsAreBeingStoppedIsHeld)
{
  giveUp("a");
  const TimePoint overAt = now + lostRunLimit;
  now += milliseconds(10);
  submit("a");
  submit("a");
  EXPECT_EQ(sent.size(), 1u);
  passTo(now + tellAfter);
  passTo(overAt - Duration(1));
  EXPECT_EQ(sent.size(), 1u);
  passTo(overAt);
  ASSERT_EQ(sent.size(), 2u);
  end(1, JobOutcome::Completed);
  EXPECT_EQ(answers.size(), 2u);
}

/// Guards against a daemon that knows nothing of a job that is held here, and
/// begins it at the same time.
TEST_F(GatewayTest, AHeldJobIsListedWhileItWaits)
{
  giveUp("a");
  submit("a");
  now += tellAfter;
  const std::vector<LongJob> listed = gateway.longJobs(now);
  EXPECT_EQ(std::count(listed.begin(), listed.end(), LongJob{ a, tellAfter }),
            1);
}

/// Guards against a caller that leaves and a job that is begun for nobody.
TEST_F(GatewayTest, AJobWhoseCallerLeavesDuringARecallIsNotPlaced)
{
  elsewhere[a] = { other, TimePoint() };
  const Gateway::Ticket ticket = submit("a");
  gateway.callerGone(ticket, now);
  gateway.recalled(other, a, Duration::zero(), now);
  EXPECT_TRUE(sent.empty());
  EXPECT_TRUE(cancelled.empty());
  EXPECT_EQ(gateway.waiting(), 0u);
}

/// Guards against two daemons that have both begun a job and let it run.
TEST_F(GatewayTest, OfAJobThatTwoDaemonsHaveTheEarlierOneIsRecalled)
{
  submit("a");
  now += milliseconds(500);
  gateway.told(other, { { a, milliseconds(1900) } }, now);
  ASSERT_EQ(recalled.size(), 1u);
  EXPECT_EQ(recalled[0], std::pair(other, a));
  EXPECT_TRUE(cancelled.empty());
}

/// Guards against daemons that recall a job from each other until it is at
/// neither, and against recalls of other jobs or of those given up.
TEST_F(GatewayTest, OnlyAnEarlierSubmissionOfTheSameJobIsRecalled)
{
  submit("a");
  now += milliseconds(1900);
  gateway.told(other,
               { { a, milliseconds(500) },
                 { a, Duration::zero() },
                 { JobId("b"), milliseconds(3000) } },
               now);
  EXPECT_TRUE(recalled.empty());
}

/// Guards against a job that is asked for again with each heartbeat before the
/// answer to the first.
TEST_F(GatewayTest, AJobThatIsBeingRecalledIsNotRecalledTwice)
{
  elsewhere[a] = { other, TimePoint() };
  submit("a");
  gateway.told(other, { { a, milliseconds(1900) } }, now);
  EXPECT_EQ(recalled.size(), 1u);
}

/// Guards against a job in the smaller part of a cut group that runs on while
/// its caller is at the larger one.
TEST_F(GatewayTest, AToldJobEndsWhereTheOthersCannotBeToldAnew)
{
  submit("a");
  const TimePoint longFrom = now + tellAfter;
  passTo(longFrom);
  ASSERT_EQ(kept.size(), 1u);
  passTo(longFrom + milliseconds(2000));
  EXPECT_TRUE(answers.empty());
  const TimePoint until = now + milliseconds(340);
  toldUntil = TimePoint();
  gateway.tellAnew(until);
  EXPECT_TRUE(gateway.hasUntoldJobs(now));
  passTo(until - untoldMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  passTo(until - untoldMargin);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against jobs that all end after each short cut.
TEST_F(GatewayTest, AJobThatIsToldAnewGoesOn)
{
  submit("a");
  passTo(now + tellAfter);
  passTo(now + milliseconds(2000));
  toldUntil = TimePoint();
  gateway.tellAnew(now + milliseconds(340));
  gateway.tick(now);
  EXPECT_EQ(kept.size(), 1u);
  toldUntil.reset();
  passTo(now + milliseconds(200));
  EXPECT_EQ(kept.size(), 2u);
  passTo(now + milliseconds(1000));
  EXPECT_TRUE(answers.empty());
}

/// Guards against a cut that shortens the time of a job that nobody else can
/// have yet.
TEST_F(GatewayTest, ToTellAnewTakesNothingFromAJobsFirstTime)
{
  submit("a");
  const TimePoint exclusiveUntil = now + wantedRunLimit;
  passTo(now + tellAfter);
  toldUntil = TimePoint();
  gateway.tellAnew(now + milliseconds(340));
  passTo(exclusiveUntil - untoldMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  passTo(exclusiveUntil - untoldMargin);
  EXPECT_EQ(answers.size(), 1u);
}

/// Guards against a cut that gives a job that nobody was told of more time.
TEST_F(GatewayTest, ToTellAnewGivesNothingToAnUntoldJob)
{
  toldUntil = TimePoint();
  submit("a");
  const TimePoint exclusiveUntil = now + wantedRunLimit;
  passTo(now + milliseconds(1100));
  gateway.tellAnew(now + milliseconds(340));
  passTo(exclusiveUntil - untoldMargin);
  EXPECT_EQ(answers.size(), 1u);
}

} // namespace
} // namespace cowslippin::testing
