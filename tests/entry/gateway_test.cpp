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
const VmId firstHolder("holder-1");
const VmId secondHolder("holder-2");
const ShardId homeShard(ZoneName("z1"), 0);
const ShardId remoteShard(ZoneName("z2"), 0);

/// A gateway whose hooks record what it sends to holders and other daemons.
class GatewayTest : public ::testing::Test
{
protected:
  GatewayTest()
    : gateway(self, Gateway::Settings(), hooks())
  {
    holders[homeShard] = firstHolder;
  }

  Gateway::Hooks hooks()
  {
    Gateway::Hooks hooks;
    hooks.currentHolder =
      [this](const ShardId& shard) -> std::optional<HolderChoice> {
      const auto found = holders.find(shard);
      if (found == holders.end() && shard.count() == 1)
        return std::nullopt;
      HolderChoice choice;
      // A zone that was divided into several shards is one shard now.
      choice.holder = found == holders.end() ? secondHolder : found->second;
      choice.shard = found == holders.end() ? homeShard : shard;
      return choice;
    };
    hooks.bestHolder = [this](const std::set<ShardId>& refusedBy,
                              std::size_t) -> std::optional<HolderChoice> {
      for (const auto& [shard, holder] : holders) {
        if (refusedBy.count(shard) > 0)
          continue;
        HolderChoice choice;
        choice.holder = holder;
        choice.shard = shard;
        choice.freeSlots = freeSlots;
        return choice;
      }
      return std::nullopt;
    };
    hooks.areAllZonesEvacuated = [this] { return areAllZonesEvacuated; };
    hooks.workersDigest = [this](const VmId&, const ShardId&) {
      return advertisedWorkers;
    };
    hooks.submit = [this](const VmId& vm, const JobRequest& request) {
      sentRequests.emplace_back(vm, request);
      return true;
    };
    hooks.cancel = [this](const VmId& vm, const JobKey& key) {
      cancelled.emplace_back(vm, key);
    };
    hooks.confirmAdvertised = [this](const VmId& vm, const JobKey& key) {
      kept.emplace_back(vm, key);
    };
    hooks.advertisedUntil = [this] { return advertisedUntil.value_or(now); };
    hooks.inProgressAt = [this](const JobId& job, TimePoint) {
      const auto found = remoteJobs.find(job);
      return found == remoteJobs.end() ? std::nullopt
                                       : std::make_optional(found->second);
    };
    hooks.recall = [this](const VmId& vm, const PeerRecall& recall) {
      recalled.emplace_back(vm, recall.job);
    };
    hooks.mayBePartitioned = [this] { return isPartitioned; };
    hooks.registerJob = [this](const JobId&, const std::set<VmId>& endedAt) {
      registrations.push_back(endedAt);
      return registration;
    };
    hooks.renewRegistration = [this](const JobId& job) {
      renewed.push_back(job);
    };
    hooks.cancelRegistration = [](const JobId&) {};
    return hooks;
  }

  Gateway::CallerId submit(const std::string& job,
                           unsigned tasks = 3,
                           Duration maxReadDelay = Duration::zero(),
                           Duration maxAge = Duration::zero())
  {
    JobSubmission submission;
    submission.job = JobId(job);
    submission.taskPrefix = job + ".0.0.";
    submission.taskCount = tasks;
    submission.needs.estimate = milliseconds(100);
    submission.policy.target = milliseconds(60);
    submission.timeLeft = std::chrono::seconds(5);
    submission.maxReadDelay = maxReadDelay;
    submission.maxAge = maxAge;
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
      end.done = sentRequests[index].second.tasks;
    gateway.partEnded(
      sentRequests[index].first, sentRequests[index].second.key, end, now);
  }

  void returnTasks(std::size_t index, std::vector<TaskIndex> tasks)
  {
    TasksReturned returned;
    returned.tasks = std::move(tasks);
    returned.holder = secondHolder;
    returned.shard = remoteShard;
    returned.nextRun = 4;
    gateway.tasksReturned(
      sentRequests[index].first, sentRequests[index].second.key, returned, now);
  }

  /// Advances the clock and calls `tick` once, without the ticks in between.
  void advanceTo(TimePoint at)
  {
    now = at;
    gateway.tick(now);
  }

  /// Submits a job, waits until it is old enough to be advertised to other
  /// daemons, and disconnects its only caller.
  void abandonJob(const std::string& job)
  {
    const Gateway::CallerId ticket = submit(job);
    now += advertiseAfter;
    gateway.callerDisconnected(ticket, now);
  }

  const Duration advertiseAfter = Gateway::Settings().advertiseAfter;
  const Duration unadvertisedMargin = Gateway::Settings().unadvertisedMargin;
  const VmId otherDaemon{ "other" };
  const JobId jobA{ "a" };

  bool areAllZonesEvacuated = false;
  std::optional<ShardDigest> advertisedWorkers = 77;
  /// The number of free slots that each holder advertises.
  unsigned freeSlots = 0;
  TimePoint now{ std::chrono::seconds(100) };
  std::map<ShardId, VmId> holders;
  std::vector<std::pair<VmId, JobRequest>> sentRequests;
  std::vector<std::pair<VmId, JobKey>> cancelled;
  std::vector<std::pair<VmId, JobKey>> kept;
  std::vector<std::pair<VmId, JobId>> recalled;
  /// The outcome of registrations in the group. By default no other daemon has
  /// the job.
  JobRegistrations::Result registration;
  /// Where the runs of the job had ended, for each registration.
  std::vector<std::set<VmId>> registrations;
  std::vector<JobId> renewed;
  bool isPartitioned = false;
  /// The daemons that advertise a job as in progress.
  std::map<JobId, PeerJobs::Location> remoteJobs;
  /// Until when the other daemons have read this daemon's list of long jobs; up
  /// to now if it isn't set.
  std::optional<TimePoint> advertisedUntil;
  std::vector<JobAnswer> answers;
  Gateway gateway;
};

TEST_F(GatewayTest, SubmitsAJobToTheHolderAndAnswersItsEnd)
{
  submit("a");
  ASSERT_EQ(sentRequests.size(), 1u);
  EXPECT_EQ(sentRequests[0].first, firstHolder);
  EXPECT_EQ(sentRequests[0].second.tasks, (std::vector<TaskIndex>{ 0, 1, 2 }));
  EXPECT_FALSE(sentRequests[0].second.mayHaveRun);
  end(0, JobOutcome::Completed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Completed);
  EXPECT_EQ(gateway.jobCount(), 0u);
}

/// Guards against a log without the ages at which a job lost its callers.
/// Without the ages the log doesn't show why a run was stopped while another
/// run of the job was in progress.
TEST_F(GatewayTest, LogsWhenAndWhyAJobLostItsCallers)
{
  LogCapture log;
  const Gateway::CallerId ticket = submit("a");
  submit("b");
  now += milliseconds(300);
  submit("b");
  gateway.callerDisconnected(ticket, now);
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

/// Guards against a record that doesn't say when a gateway read a job, nor how
/// old the request may have been by then. A second request for the job counts.
TEST_F(GatewayTest, LogsEachRequestThatItReads)
{
  LogCapture log;
  for (int request = 0; request < 2; ++request)
    submit("a", 2, milliseconds(30), milliseconds(700));
  const auto lines = log.of("job-read");
  ASSERT_EQ(lines.size(), 2u);
  for (const auto& line : lines) {
    EXPECT_EQ(line["job"], "a");
    EXPECT_EQ(line["tasks"], 2);
    EXPECT_EQ(line["maxAgeMs"], 700);
    EXPECT_EQ(line["readDelayMs"], 30);
  }
}

TEST_F(GatewayTest, AJobThatWasNeverStartedIsAnsweredAsNotRun)
{
  submit("a");
  end(0, JobOutcome::Refused);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
}

/// Guards against refused jobs that are offered to every shard. Five zones of
/// 24 workers each were divided into 20 shards. In a burst of twice the
/// workers' capacity each refused job had been offered to all 20 shards:
/// holders refused 7,721 submissions while they accepted 1,579 jobs.
TEST_F(GatewayTest, TheNumberOfShardsAskedBeforeARefusalIsLimited)
{
  for (unsigned index = 0; index < 20; ++index)
    holders[ShardId(ZoneName("z3"), index, 20)] = secondHolder;
  submit("a");
  for (std::size_t asked = 0; answers.empty() && asked < 30; ++asked)
    end(asked, JobOutcome::Refused);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_EQ(sentRequests.size(), Gateway::Settings().maxShardsAsked);
}

TEST_F(GatewayTest, AJobIsNotRefusedWhileAShardAdvertisesFreePlaces)
{
  for (unsigned index = 0; index < 20; ++index)
    holders[ShardId(ZoneName("z3"), index, 20)] = secondHolder;
  freeSlots = 1;
  submit("a");
  for (std::size_t asked = 0; asked < 10; ++asked)
    end(asked, JobOutcome::Refused);
  EXPECT_TRUE(answers.empty());
  freeSlots = 0;
  end(10, JobOutcome::Refused);
  EXPECT_EQ(answers.size(), 1u);
}

TEST_F(GatewayTest, AJobIsRefusedOnlyWhenEveryShardHasRefusedIt)
{
  holders[remoteShard] = secondHolder;
  submit("a");
  JobEnd full;
  full.outcome = JobOutcome::Refused;
  full.retryAfter = milliseconds(700);
  gateway.partEnded(firstHolder, sentRequests[0].second.key, full, now);
  EXPECT_TRUE(answers.empty());
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].first, secondHolder);
  EXPECT_FALSE(sentRequests[1].second.mayHaveRun);
  full.retryAfter = milliseconds(900);
  gateway.partEnded(secondHolder, sentRequests[1].second.key, full, now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_EQ(answers[0].retryAfter, milliseconds(700))
    << "the earliest time at which a shard expects room";
}

TEST_F(GatewayTest, AJobWhoseHolderWasLostIsNeverAnsweredAsNotRun)
{
  submit("a");
  gateway.peerLost(firstHolder, now);
  holders[homeShard] = secondHolder;
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_TRUE(sentRequests[1].second.mayHaveRun);
  ASSERT_TRUE(sentRequests[1].second.quarantine);
  EXPECT_EQ(sentRequests[1].second.quarantine->lostHoldersWorkers,
            (ShardWorkers{ homeShard, 77 }));
  end(1, JobOutcome::Refused);
  for (const JobAnswer& answer : answers)
    EXPECT_NE(answer.kind, JobAnswer::Kind::NotRun);
}

TEST_F(GatewayTest, NoShardIsNamedForRunsThatMayBeOrphanedInTwoShards)
{
  const ShardId half(ZoneName("z1"), 1, 2);
  holders = { { half, firstHolder } };
  submit("a");
  holders.clear();
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.shard, homeShard);
  EXPECT_EQ(sentRequests[1].second.quarantine->lostHoldersWorkers,
            (ShardWorkers{ half, 77 }));
  now += milliseconds(1200);
  gateway.peerLost(secondHolder, now);
  holders = { { homeShard, firstHolder } };
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 3u);
  ASSERT_TRUE(sentRequests[2].second.quarantine);
  EXPECT_FALSE(sentRequests[2].second.quarantine->lostHoldersWorkers);
}

TEST_F(GatewayTest, NoShardIsNamedForRunsThatTwoHoldersMayHaveOrphaned)
{
  submit("a");
  gateway.peerLost(firstHolder, now);
  holders[homeShard] = secondHolder;
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  now += milliseconds(500);
  gateway.peerLost(secondHolder, now);
  holders[homeShard] = firstHolder;
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 3u);
  EXPECT_FALSE(sentRequests[2].second.quarantine->lostHoldersWorkers)
    << "the second holder may have known fewer workers than the first";
  now += milliseconds(1500);
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 4u);
  EXPECT_TRUE(sentRequests[3].second.quarantine->lostHoldersWorkers);
}

TEST_F(GatewayTest, NoShardIsNamedIfTheLostHolderAdvertisedNoWorkers)
{
  advertisedWorkers.reset();
  submit("a");
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_FALSE(sentRequests[1].second.quarantine->lostHoldersWorkers);
}

TEST_F(GatewayTest,
       ALostPartStartsInAnotherShardOnlyAfterItsOrphanedRunsHaveEnded)
{
  submit("a");
  gateway.peerLost(firstHolder, now);
  holders.erase(homeShard);
  holders[remoteShard] = secondHolder;
  now += milliseconds(1200);
  gateway.tick(now);
  EXPECT_EQ(sentRequests.size(), 1u);
  now += milliseconds(100);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].first, secondHolder);
  EXPECT_FALSE(sentRequests[1].second.quarantine);
}

TEST_F(GatewayTest, ReturnedTasksGoToTheNamedHolderAndBothPartsMustEnd)
{
  submit("a");
  returnTasks(0, { 1, 2 });
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].first, secondHolder);
  EXPECT_EQ(sentRequests[1].second.tasks, (std::vector<TaskIndex>{ 1, 2 }));
  EXPECT_EQ(sentRequests[1].second.firstRun, 4u);
  EXPECT_FALSE(sentRequests[1].second.allowsReturn);
  EXPECT_FALSE(sentRequests[1].second.mayHaveRun)
    << "the holder may still refuse the part";
  end(0, JobOutcome::Completed);
  EXPECT_TRUE(answers.empty());
  end(1, JobOutcome::Completed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Completed);
}

/// Guards against a job that is answered as completed although tasks that a
/// holder had returned were lost.
TEST_F(GatewayTest, TasksThatACompletedPartDoesNotReportAsDoneArePlacedAgain)
{
  submit("a");
  JobEnd end;
  end.outcome = JobOutcome::Completed;
  end.done = { 0 };
  end.nextRun = 9;
  gateway.partEnded(
    sentRequests[0].first, sentRequests[0].second.key, end, now);
  EXPECT_TRUE(answers.empty());
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.tasks, (std::vector<TaskIndex>{ 1, 2 }));
  EXPECT_EQ(sentRequests[1].second.firstRun, 9u);
  EXPECT_TRUE(sentRequests[1].second.mayHaveRun);
  this->end(1, JobOutcome::Completed);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Completed);
}

TEST_F(GatewayTest,
       APartThatTheNamedHolderRefusesIsPlacedAgainAndNotAnsweredAsNotRun)
{
  submit("a");
  returnTasks(0, { 2 });
  end(1, JobOutcome::Refused);
  ASSERT_EQ(sentRequests.size(), 3u);
  EXPECT_EQ(sentRequests[2].first, firstHolder);
  EXPECT_TRUE(sentRequests[2].second.mayHaveRun);
  EXPECT_TRUE(answers.empty());
}

TEST_F(GatewayTest, TasksOfAnEvacuatedZoneGoToAHolderThatTheGatewayChooses)
{
  submit("a");
  holders = { { remoteShard, secondHolder } };
  TasksReturned returned;
  returned.tasks = { 1, 2 };
  returned.nextRun = 2;
  gateway.tasksReturned(firstHolder, sentRequests[0].second.key, returned, now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].first, secondHolder);
  EXPECT_EQ(sentRequests[1].second.shard, remoteShard);
  EXPECT_EQ(sentRequests[1].second.tasks, (std::vector<TaskIndex>{ 1, 2 }));
  EXPECT_TRUE(sentRequests[1].second.mayHaveRun)
    << "a part of a started job waits for room";
}

TEST_F(GatewayTest, AJobIsRefusedAtOnceWhileAllZonesAreEvacuated)
{
  holders.clear();
  areAllZonesEvacuated = true;
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
  EXPECT_EQ(cancelled[0].first, firstHolder);
}

TEST_F(GatewayTest, ReportsAboutAnEarlierAssignmentAreIgnored)
{
  submit("a");
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.previousPart,
            sentRequests[0].second.key.part());
  end(0, JobOutcome::Completed);
  returnTasks(0, { 1 });
  EXPECT_TRUE(answers.empty());
  EXPECT_EQ(sentRequests.size(), 2u);
}

/// Guards against an end of another job that is taken for the end of a job here
/// because their submissions have the same number. Holders send the ends of a
/// killed process's jobs to the process that was started in its place.
TEST_F(GatewayTest, MessagesAboutAnEarlierProcessesJobsAreIgnored)
{
  submit("b");
  const std::uint64_t number = sentRequests.at(0).second.key.part();
  const JobKey earlier(self, JobId("a"), number);
  JobEnd end;
  end.done = { 0, 1, 2 };
  for (const JobOutcome outcome : { JobOutcome::Completed,
                                    JobOutcome::Refused,
                                    JobOutcome::Failed,
                                    JobOutcome::TimedOut,
                                    JobOutcome::Unresolved,
                                    JobOutcome::NotHolder,
                                    JobOutcome::Moved }) {
    end.outcome = outcome;
    gateway.partEnded(firstHolder, earlier, end, now);
    EXPECT_TRUE(answers.empty());
    EXPECT_EQ(gateway.jobsSubmittedTo(firstHolder).count(), 1u);
    ASSERT_EQ(gateway.jobCount(), 1u);
  }
  TasksReturned returned;
  returned.tasks = { 0 };
  returned.holder = secondHolder;
  returned.shard = remoteShard;
  gateway.tasksReturned(firstHolder, earlier, returned, now);
  EXPECT_EQ(sentRequests.size(), 1u);
}

TEST_F(GatewayTest, AMovedPartContinuesWithItsRemainingTasks)
{
  submit("a");
  holders[homeShard] = secondHolder;
  JobEnd moved;
  moved.outcome = JobOutcome::Moved;
  moved.done = { 0, 2 };
  moved.nextRun = 12;
  gateway.partEnded(firstHolder, sentRequests[0].second.key, moved, now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.tasks, std::vector<TaskIndex>{ 1 });
  EXPECT_EQ(sentRequests[1].second.firstRun, 12u);
  EXPECT_TRUE(sentRequests[1].second.quarantine);
}

TEST_F(GatewayTest, CrashCountsArePassedToTheNextHolder)
{
  submit("a");
  JobEnd moved;
  moved.outcome = JobOutcome::Moved;
  moved.crashes = { { 1, 2 } };
  gateway.partEnded(firstHolder, sentRequests[0].second.key, moved, now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.crashes, moved.crashes);
}

TEST_F(GatewayTest, WorkersWithRunsOfAMovedPartArePassedToTheNextHolder)
{
  submit("a");
  JobEnd moved;
  moved.outcome = JobOutcome::Moved;
  moved.done = { 0 };
  moved.activeTasks = { { 2, WorkerId("w7") } };
  gateway.partEnded(firstHolder, sentRequests[0].second.key, moved, now);
  ASSERT_EQ(sentRequests.size(), 2u);
  ASSERT_TRUE(sentRequests[1].second.quarantine);
  EXPECT_EQ(sentRequests[1].second.quarantine->activeTasks, moved.activeTasks);
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 3u);
  ASSERT_TRUE(sentRequests[2].second.quarantine);
  EXPECT_FALSE(sentRequests[2].second.quarantine->activeTasks)
    << "the runs that the lost holder has started since are unknown";
}

TEST_F(GatewayTest, ADuplicateSubmissionJoinsTheJobInProgress)
{
  submit("a");
  submit("a");
  EXPECT_EQ(sentRequests.size(), 1u);
  end(0, JobOutcome::Completed);
  EXPECT_EQ(answers.size(), 2u);
}

TEST_F(GatewayTest, TheLastCallerToDisconnectCancelsTheJob)
{
  const Gateway::CallerId one = submit("a");
  const Gateway::CallerId two = submit("a");
  gateway.callerDisconnected(one, now);
  EXPECT_TRUE(cancelled.empty());
  gateway.callerDisconnected(two, now);
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].second, sentRequests[0].second.key);
  EXPECT_EQ(gateway.jobCount(), 0u);
}

TEST_F(GatewayTest,
       WithoutAnyHolderAJobIsRefusedAfterAQuarterOfItsIdealResponseTime)
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

TEST_F(GatewayTest, AJobWithAnUnresolvedStartIsAnsweredAtOnceWithARetryDelay)
{
  submit("a");
  ASSERT_EQ(sentRequests.size(), 1u);
  JobEnd end;
  end.outcome = JobOutcome::Unresolved;
  end.retryAfter = std::chrono::seconds(11);
  gateway.partEnded(firstHolder, sentRequests[0].second.key, end, now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(answers[0].retryAfter, std::chrono::seconds(11));
}

TEST_F(GatewayTest, AnExpiredJobIsCancelledAndItsOutcomeIsUnknown)
{
  submit("a");
  now += std::chrono::seconds(6);
  gateway.tick(now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against runs that go on after a disconnected caller has submitted the
/// job again. While the gateway and the holder are in contact, only the limit
/// in the request ends the leases of these runs in time.
TEST_F(GatewayTest, TheRequestToAHolderSaysForHowLongTheJobIsExclusive)
{
  submit("a");
  ASSERT_EQ(sentRequests.size(), 1u);
  EXPECT_EQ(sentRequests[0].second.exclusiveFor, maxRunAfterContact);
  now += milliseconds(300);
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.exclusiveFor,
            maxRunAfterContact - milliseconds(300));
}

/// Guards against a job that counts as exclusive for too long. The request
/// waits unread, and its caller may have disconnected meanwhile.
TEST_F(GatewayTest, TheTimeThatARequestWaitedUnreadCounts)
{
  submit("a", 3, milliseconds(500));
  ASSERT_EQ(sentRequests.size(), 1u);
  EXPECT_EQ(sentRequests[0].second.exclusiveFor,
            maxRunAfterContact - milliseconds(500));
  EXPECT_EQ(gateway.longRunningJobs(now).size(), 1u) << "advertised at once";
}

/// Guards against long jobs that are ended although all other daemons know of
/// them.
TEST_F(GatewayTest, HoldersKeepAJobOnceOtherDaemonsHaveReadOfIt)
{
  submit("a");
  const TimePoint longFrom = now + advertiseAfter;
  advertisedUntil = longFrom - Duration(1);
  advanceTo(longFrom + milliseconds(20));
  EXPECT_TRUE(kept.empty())
    << "the other daemons have read only of an earlier time";
  EXPECT_TRUE(gateway.hasUnadvertisedJobs(now));
  advertisedUntil = longFrom;
  gateway.tick(now);
  ASSERT_EQ(kept.size(), 1u);
  EXPECT_EQ(kept[0], std::pair(firstHolder, sentRequests[0].second.key));
  EXPECT_FALSE(gateway.hasUnadvertisedJobs(now));
  gateway.peerLost(firstHolder, now);
  gateway.tick(now);
  ASSERT_EQ(sentRequests.size(), 2u);
  EXPECT_EQ(sentRequests[1].second.exclusiveFor, Duration::max());
  EXPECT_EQ(kept.size(), 1u) << "the keep is sent once";
}

/// Guards against jobs that end because the acknowledgements of their
/// advertisement are read late. The time at which they end stays as it is.
TEST_F(GatewayTest, JobsAreAdvertisedEarlierWhileTheEventLoopIsLate)
{
  gateway.setLoopLag(milliseconds(100));
  submit("a");
  const TimePoint exclusiveUntil = now + maxRunAfterContact;
  now += advertiseAfter - milliseconds(200) - Duration(1);
  EXPECT_TRUE(gateway.longRunningJobs(now).empty());
  now += Duration(1);
  EXPECT_EQ(gateway.longRunningJobs(now).size(), 1u);
  advertisedUntil = TimePoint();
  advanceTo(exclusiveUntil - unadvertisedMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  advanceTo(exclusiveUntil - unadvertisedMargin);
  EXPECT_EQ(answers.size(), 1u);
}

/// Guards against a holder that is told to keep a job before any heartbeat has
/// listed the job.
TEST_F(GatewayTest, AShortJobIsNotKept)
{
  submit("a");
  advanceTo(now + advertiseAfter - Duration(1));
  EXPECT_TRUE(kept.empty());
  EXPECT_FALSE(gateway.hasUnadvertisedJobs(now));
}

/// Guards against a job of which one part goes on and another part is ended, as
/// only one of the two holders is told to keep its part.
TEST_F(GatewayTest, EachHolderOfAPartIsToldToKeepIt)
{
  submit("a");
  returnTasks(0, { 1, 2 });
  ASSERT_EQ(sentRequests.size(), 2u);
  advanceTo(now + advertiseAfter);
  ASSERT_EQ(kept.size(), 2u);
  EXPECT_EQ(kept[0], std::pair(firstHolder, sentRequests[0].second.key));
  EXPECT_EQ(kept[1], std::pair(secondHolder, sentRequests[1].second.key));
}

/// Guards against a second, concurrent run. The caller submits its job again at
/// another daemon, which couldn't be told that the job is in progress here.
TEST_F(GatewayTest, AJobThatCannotBeAdvertisedEndsBeforeItMayBeResubmitted)
{
  const TimePoint exclusiveUntil = now + maxRunAfterContact;
  advertisedUntil = now;
  submit("a");
  advanceTo(exclusiveUntil - unadvertisedMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  EXPECT_TRUE(cancelled.empty());
  advanceTo(exclusiveUntil - unadvertisedMargin);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(answers[0].retryAfter, maxOrphanedRun);
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].second, sentRequests[0].second.key);
}

/// Guards against a cancel that the holder receives too late: by then the
/// workers' leases would have to end with the job.
TEST(GatewayBounds, AnUnadvertisedJobEndsAtItsGatewayBeforeItsHolder)
{
  EXPECT_GT(Gateway::Settings().unadvertisedMargin, exclusiveStopMargin);
  EXPECT_LT(Gateway::Settings().advertiseAfter + milliseconds(450),
            maxRunAfterContact - Gateway::Settings().unadvertisedMargin)
    << "there is time for three heartbeats";
}

/// Guards against a heartbeat that omits a job: other daemons would take the
/// job for ended.
TEST_F(GatewayTest, LongJobsAreListedWithTheirAges)
{
  submit("a");
  now += milliseconds(200);
  submit("b");
  now += advertiseAfter - milliseconds(200) - Duration(1);
  EXPECT_TRUE(gateway.longRunningJobs(now).empty());
  now += Duration(1);
  EXPECT_EQ(gateway.longRunningJobs(now),
            (std::vector<LongRunningJob>{ { jobA, milliseconds(450) } }));
  now += milliseconds(200);
  EXPECT_EQ(gateway.longRunningJobs(now),
            (std::vector<LongRunningJob>{ { jobA, milliseconds(650) },
                                          { JobId("b"), milliseconds(450) } }));
}

/// Guards against a job that another daemon starts while the runs of the
/// abandoned job are still being stopped.
TEST_F(GatewayTest, AnAbandonedJobStaysListedUntilItsRunsHaveEnded)
{
  abandonJob("a");
  const TimePoint overAt = now + maxOrphanedRun;
  const std::vector<LongRunningJob> listedJobs = { { jobA, Duration::zero() } };
  EXPECT_EQ(gateway.longRunningJobs(now), listedJobs);
  advanceTo(overAt - Duration(1));
  EXPECT_EQ(gateway.longRunningJobs(now), listedJobs);
  advanceTo(overAt);
  EXPECT_TRUE(gateway.longRunningJobs(now).empty());
}

/// Guards against an abandoned job that is no longer listed because it has no
/// holder: runs that its lost holder orphaned may still be in progress.
TEST_F(GatewayTest, AnAbandonedJobWithoutAHolderStaysListed)
{
  const Gateway::CallerId ticket = submit("a");
  now += advertiseAfter;
  gateway.peerLost(firstHolder, now);
  gateway.callerDisconnected(ticket, now);
  EXPECT_EQ(gateway.longRunningJobs(now).size(), 1u);
}

/// Guards against a second submission that waits although all runs of the first
/// one have ended.
TEST_F(GatewayTest, ACompletedJobIsNoLongerListed)
{
  submit("a");
  now += advertiseAfter;
  end(0, JobOutcome::Completed);
  EXPECT_TRUE(gateway.longRunningJobs(now).empty());
  submit("a");
  EXPECT_EQ(sentRequests.size(), 2u);
}

/// Guards against a job that runs for its disconnected caller while another
/// daemon runs the caller's next submission.
TEST_F(GatewayTest, ARecallStopsTheJobAndReturnsHowLongThatMayTake)
{
  submit("a");
  now += advertiseAfter;
  EXPECT_EQ(gateway.recallReceived(otherDaemon, { jobA }, now), maxOrphanedRun);
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].second, sentRequests[0].second.key);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  now += milliseconds(100);
  EXPECT_EQ(gateway.recallReceived(otherDaemon, { jobA }, now),
            maxOrphanedRun - milliseconds(100))
    << "the first answer may have been lost with its connection";
}

/// Guards against an answer that reports a job as ended while it is in
/// progress.
TEST_F(GatewayTest, ARecallStopsAJobThatIsNotListedYet)
{
  submit("a");
  now += milliseconds(100);
  EXPECT_GT(gateway.recallReceived(otherDaemon, { jobA }, now),
            Duration::zero());
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against a caller that has to wait for runs that have already ended.
TEST_F(GatewayTest, ARecallOfAnEndedJobReturnsZero)
{
  submit("a");
  now += advertiseAfter;
  end(0, JobOutcome::Completed);
  EXPECT_EQ(gateway.recallReceived(otherDaemon, { jobA }, now),
            Duration::zero());
  EXPECT_EQ(gateway.recallReceived(otherDaemon, { JobId("b") }, now),
            Duration::zero());
}

/// Guards against a job that is started here while another daemon has it in
/// progress.
TEST_F(GatewayTest, AJobThatAnotherDaemonListsIsRecalledBeforeItIsPlaced)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  submit("a");
  ASSERT_EQ(recalled.size(), 1u);
  EXPECT_EQ(recalled[0], std::pair(otherDaemon, jobA));
  advanceTo(now + milliseconds(20));
  EXPECT_TRUE(sentRequests.empty());
  gateway.recallAcknowledged(secondHolder, jobA, Duration::zero(), now);
  EXPECT_TRUE(sentRequests.empty()) << "this daemon wasn't asked";
  remoteJobs.clear();
  gateway.recallAcknowledged(otherDaemon, jobA, Duration::zero(), now);
  EXPECT_EQ(sentRequests.size(), 1u);
  gateway.recallAcknowledged(otherDaemon, jobA, Duration::zero(), now);
  EXPECT_EQ(sentRequests.size(), 1u) << "a second answer";
  EXPECT_EQ(recalled.size(), 1u);
}

/// Guards against a second run that starts while the first one is being
/// stopped.
TEST_F(GatewayTest, ARecalledJobIsHeldUntilItsEarlierRunsHaveEnded)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  submit("a");
  const TimePoint overAt = now + milliseconds(300);
  gateway.recallAcknowledged(otherDaemon, jobA, milliseconds(300), now);
  gateway.recallAcknowledged(otherDaemon, jobA, Duration::zero(), now);
  EXPECT_TRUE(sentRequests.empty()) << "a second answer";
  remoteJobs.clear();
  advanceTo(overAt - Duration(1));
  EXPECT_TRUE(sentRequests.empty());
  EXPECT_TRUE(answers.empty());
  advanceTo(overAt);
  EXPECT_EQ(sentRequests.size(), 1u);
}

/// Guards against a job that is started after a hold although a third daemon
/// has received it meanwhile.
TEST_F(GatewayTest, AfterAHoldTheDaemonOfAJobIsLookedUpAgain)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  submit("a");
  gateway.recallAcknowledged(otherDaemon, jobA, milliseconds(300), now);
  remoteJobs[jobA] = { secondHolder, TimePoint() };
  advanceTo(now + milliseconds(300));
  EXPECT_TRUE(sentRequests.empty());
  ASSERT_EQ(recalled.size(), 2u);
  EXPECT_EQ(recalled[1].first, secondHolder);
}

/// Guards against a caller that waits in vain until its deadline: it is
/// answered at once and can submit the job again later.
TEST_F(GatewayTest, AJobHeldBeyondItsDeadlineIsAnsweredWithARetryDelay)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  submit("a");
  gateway.recallAcknowledged(otherDaemon, jobA, milliseconds(4900), now);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(answers[0].retryAfter, milliseconds(4900));
  EXPECT_TRUE(sentRequests.empty());
  EXPECT_EQ(gateway.jobCount(), 0u);
}

/// Guards against a job that waits forever for a lost daemon's answer to a
/// recall, and against a job that is started while that daemon's orphaned runs
/// are in progress.
TEST_F(GatewayTest,
       AJobRecalledFromALostDaemonIsHeldUntilItsOrphanedRunsHaveEnded)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  submit("a");
  remoteJobs.clear();
  gateway.peerLost(otherDaemon, now);
  const TimePoint overAt = now + maxOrphanedRun;
  // By then other daemons know of the job, so that it isn't ended.
  advanceTo(now + advertiseAfter);
  advanceTo(overAt - Duration(1));
  EXPECT_TRUE(sentRequests.empty());
  advanceTo(overAt);
  EXPECT_EQ(sentRequests.size(), 1u);
}

/// Guards against a second run that starts while runs that a lost daemon
/// orphaned are in progress.
TEST_F(GatewayTest, AJobListedByALostDaemonIsHeldUntilItsOrphanedRunsHaveEnded)
{
  const TimePoint overAt = now + milliseconds(800);
  remoteJobs[jobA] = { std::nullopt, overAt };
  submit("a");
  EXPECT_TRUE(recalled.empty());
  remoteJobs.clear();
  advanceTo(overAt - Duration(1));
  EXPECT_TRUE(sentRequests.empty());
  advanceTo(overAt);
  EXPECT_EQ(sentRequests.size(), 1u);
}

/// Guards against a second run that starts when the caller submits its job
/// again at the daemon that has just abandoned it, while the runs are still
/// being stopped.
TEST_F(GatewayTest, AJobResubmittedWhileItsRunsAreBeingStoppedIsHeld)
{
  abandonJob("a");
  const TimePoint overAt = now + maxOrphanedRun;
  now += milliseconds(10);
  submit("a");
  submit("a");
  EXPECT_EQ(sentRequests.size(), 1u);
  advanceTo(now + advertiseAfter);
  advanceTo(overAt - Duration(1));
  EXPECT_EQ(sentRequests.size(), 1u);
  advanceTo(overAt);
  ASSERT_EQ(sentRequests.size(), 2u);
  end(1, JobOutcome::Completed);
  EXPECT_EQ(answers.size(), 2u);
}

/// Guards against another daemon that starts a job while it is held here, since
/// the job isn't listed.
TEST_F(GatewayTest, AHeldJobIsListedWhileItWaits)
{
  abandonJob("a");
  submit("a");
  now += advertiseAfter;
  const std::vector<LongRunningJob> listedJobs = gateway.longRunningJobs(now);
  EXPECT_EQ(std::count(listedJobs.begin(),
                       listedJobs.end(),
                       LongRunningJob{ jobA, advertiseAfter }),
            1);
}

/// Guards against a job that is started after its only caller has disconnected.
TEST_F(GatewayTest, AJobWhoseCallerDisconnectsDuringARecallIsNotPlaced)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  const Gateway::CallerId ticket = submit("a");
  gateway.callerDisconnected(ticket, now);
  gateway.recallAcknowledged(otherDaemon, jobA, Duration::zero(), now);
  EXPECT_TRUE(sentRequests.empty());
  EXPECT_TRUE(cancelled.empty());
  EXPECT_EQ(gateway.jobCount(), 0u);
}

/// Guards against a job that two daemons have both started and both let run.
TEST_F(GatewayTest, TheEarlierOfTwoSubmissionsOfAJobIsRecalled)
{
  submit("a");
  now += milliseconds(500);
  gateway.longRunningJobsReceived(
    otherDaemon, { { jobA, milliseconds(1900) } }, now);
  ASSERT_EQ(recalled.size(), 1u);
  EXPECT_EQ(recalled[0], std::pair(otherDaemon, jobA));
  EXPECT_TRUE(cancelled.empty());
}

/// Guards against two daemons that recall a job from each other until neither
/// of them has it, and against recalls of other jobs or of abandoned jobs.
TEST_F(GatewayTest, OnlyAnEarlierSubmissionOfTheSameJobIsRecalled)
{
  submit("a");
  now += milliseconds(1900);
  gateway.longRunningJobsReceived(otherDaemon,
                                  { { jobA, milliseconds(500) },
                                    { jobA, Duration::zero() },
                                    { JobId("b"), milliseconds(3000) } },
                                  now);
  EXPECT_TRUE(recalled.empty());
}

/// Guards against a recall that is repeated with each heartbeat before the
/// first recall is answered.
TEST_F(GatewayTest, AJobThatIsBeingRecalledIsNotRecalledTwice)
{
  remoteJobs[jobA] = { otherDaemon, TimePoint() };
  submit("a");
  gateway.longRunningJobsReceived(
    otherDaemon, { { jobA, milliseconds(1900) } }, now);
  EXPECT_EQ(recalled.size(), 1u);
}

/// Guards against a job that runs on in the smaller part of a partitioned group
/// while its caller submits it again in the larger part.
TEST_F(GatewayTest, AnAdvertisedJobEndsWhereItCannotBeAdvertisedAgain)
{
  submit("a");
  const TimePoint longFrom = now + advertiseAfter;
  advanceTo(longFrom);
  ASSERT_EQ(kept.size(), 1u);
  advanceTo(longFrom + milliseconds(2000));
  EXPECT_TRUE(answers.empty());
  const TimePoint until = now + milliseconds(340);
  advertisedUntil = TimePoint();
  gateway.advertiseAgain(until);
  EXPECT_TRUE(gateway.hasUnadvertisedJobs(now));
  advanceTo(until - unadvertisedMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  advanceTo(until - unadvertisedMargin);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against long jobs that are all ended by a short partition.
TEST_F(GatewayTest, AJobThatIsAdvertisedAgainContinues)
{
  submit("a");
  advanceTo(now + advertiseAfter);
  advanceTo(now + milliseconds(2000));
  advertisedUntil = TimePoint();
  gateway.advertiseAgain(now + milliseconds(340));
  gateway.tick(now);
  EXPECT_EQ(kept.size(), 1u);
  advertisedUntil.reset();
  advanceTo(now + milliseconds(200));
  EXPECT_EQ(kept.size(), 2u);
  advanceTo(now + milliseconds(1000));
  EXPECT_TRUE(answers.empty());
}

/// Guards against a partition that shortens the initial exclusive time of a
/// job, in which no other daemon can have received it.
TEST_F(GatewayTest, AdvertisingAgainDoesNotShortenTheInitialExclusiveTime)
{
  submit("a");
  const TimePoint exclusiveUntil = now + maxRunAfterContact;
  advanceTo(now + advertiseAfter);
  advertisedUntil = TimePoint();
  gateway.advertiseAgain(now + milliseconds(340));
  advanceTo(exclusiveUntil - unadvertisedMargin - Duration(1));
  EXPECT_TRUE(answers.empty());
  advanceTo(exclusiveUntil - unadvertisedMargin);
  EXPECT_EQ(answers.size(), 1u);
}

/// Guards against a partition that extends the time of a job that was never
/// advertised.
TEST_F(GatewayTest, AdvertisingAgainDoesNotExtendAnUnadvertisedJob)
{
  advertisedUntil = TimePoint();
  submit("a");
  const TimePoint exclusiveUntil = now + maxRunAfterContact;
  advanceTo(now + milliseconds(1100));
  gateway.advertiseAgain(now + milliseconds(340));
  advanceTo(exclusiveUntil - unadvertisedMargin);
  EXPECT_EQ(answers.size(), 1u);
}

/// Guards against a job that starts before the group has registered it.
TEST_F(GatewayTest, AJobIsPlacedWhenItsRegistrationIsComplete)
{
  registration.isPending = true;
  submit("a");
  advanceTo(now + milliseconds(20));
  EXPECT_TRUE(sentRequests.empty());
  gateway.registrationAnswered(jobA, std::nullopt, now);
  EXPECT_EQ(sentRequests.size(), 1u);
  gateway.registrationAnswered(jobA, std::nullopt, now);
  EXPECT_EQ(sentRequests.size(), 1u);
}

/// Guards against a second run of a job whose earlier submission is in progress
/// at another gateway.
TEST_F(GatewayTest, AJobThatAnotherGatewayHasRegisteredIsRecalled)
{
  registration.inProgressAt = PeerJobs::Location{ otherDaemon, TimePoint() };
  submit("a");
  ASSERT_EQ(recalled.size(), 1u);
  EXPECT_EQ(recalled[0], std::pair(otherDaemon, jobA));
  EXPECT_TRUE(sentRequests.empty());
  registration = {};
  gateway.recallAcknowledged(otherDaemon, jobA, Duration::zero(), now);
  EXPECT_EQ(sentRequests.size(), 1u);
  ASSERT_EQ(registrations.size(), 2u);
  EXPECT_EQ(registrations[1], std::set<VmId>{ otherDaemon });
}

/// Guards against a job in progress that is ended by a request that was held up
/// on its way, while its caller waits here.
TEST_F(GatewayTest, ARecallForAHeldUpRequestDoesNotStopTheLaterSubmission)
{
  submit("a");
  now += milliseconds(700);
  const PeerRecall heldUp{ jobA, milliseconds(1), true };
  EXPECT_EQ(gateway.recallReceived(otherDaemon, heldUp, now), maxOrphanedRun);
  EXPECT_TRUE(cancelled.empty());
  EXPECT_TRUE(answers.empty());
  now += milliseconds(600);
  gateway.recallReceived(otherDaemon, heldUp, now);
  EXPECT_EQ(cancelled.size(), 1u) << "the caller may have submitted it again";
}

/// Guards against two daemons that both keep a job that both have started.
TEST_F(GatewayTest, ARecallByADaemonThatHasStartedTheJobStopsItHere)
{
  submit("a");
  now += milliseconds(700);
  const PeerRecall recall{ jobA, milliseconds(500), false };
  gateway.recallReceived(otherDaemon, recall, now);
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against two daemons that wait for each other to start a job.
TEST_F(GatewayTest, OfTwoPendingRegistrationsTheLaterSubmissionIsKept)
{
  registration.isPending = true;
  submit("a");
  now += milliseconds(2);
  EXPECT_EQ(
    gateway.recallReceived(otherDaemon, { jobA, milliseconds(1), true }, now),
    Duration::zero());
  EXPECT_EQ(answers.size(), 1u);
  submit("a");
  gateway.recallReceived(otherDaemon, { jobA, milliseconds(5), true }, now);
  EXPECT_EQ(gateway.jobCount(), 1u);
}

/// Guards against a registration that expires while the job or its runs go on.
TEST_F(GatewayTest, ARegistrationIsRenewedUntilTheRunsHaveEnded)
{
  submit("a");
  advanceTo(now + JobRegistry::renewalInterval);
  EXPECT_EQ(renewed, std::vector<JobId>{ jobA });
  EXPECT_EQ(gateway.registeredJobs(), std::vector<JobId>{ jobA });
  abandonJob("b");
  EXPECT_EQ(renewed.back(), JobId("b"));
  EXPECT_EQ(gateway.registeredJobs().size(), 2u);
  EXPECT_TRUE(gateway.isInProgress(JobId("b"), now));
  EXPECT_FALSE(gateway.isInProgress(JobId("b"), now + maxOrphanedRun));
}

/// Guards against a job that runs in the smaller part of a partitioned group
/// while its caller, whose request was held up, waits in the larger part.
TEST_F(GatewayTest, AnOldRequestIsRefusedWhereNotAllDaemonsCanBeAsked)
{
  isPartitioned = true;
  submit("a", 3, Duration::zero(), std::chrono::seconds(2));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::NotRun);
  EXPECT_GT(answers[0].retryAfter, Duration::zero());
  submit("b", 3, Duration::zero(), milliseconds(900));
  EXPECT_EQ(sentRequests.size(), 1u);
}

/// As above, where the partition is detected after the job has started.
TEST_F(GatewayTest, AJobOfAnOldRequestEndsWhenTheGroupIsPartitioned)
{
  submit("a", 3, Duration::zero(), std::chrono::seconds(2));
  EXPECT_EQ(sentRequests.size(), 1u);
  advertisedUntil = TimePoint();
  gateway.advertiseAgain(now + milliseconds(340));
  advanceTo(now + milliseconds(20));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
  EXPECT_EQ(cancelled.size(), 1u);
}

/// Guards against a job that starts although another daemon has it, because the
/// recall and its repetition were lost with that daemon.
TEST_F(GatewayTest, AJobIsHeldWhenTheDaemonThatHasItIsLostAfterARepeatedRecall)
{
  registration.inProgressAt = PeerJobs::Location{ otherDaemon, TimePoint() };
  submit("a");
  registration = {};
  advanceTo(now + milliseconds(150));
  EXPECT_EQ(recalled.size(), 2u);
  EXPECT_EQ(registrations.size(), 1u);
  gateway.peerLost(otherDaemon, now);
  const TimePoint lostAt = now;
  advanceTo(now + advertiseAfter);
  advanceTo(lostAt + maxOrphanedRun - milliseconds(1));
  EXPECT_TRUE(sentRequests.empty());
  advanceTo(lostAt + maxOrphanedRun);
  EXPECT_EQ(sentRequests.size(), 1u);
}

} // namespace
} // namespace cowslippin::testing
