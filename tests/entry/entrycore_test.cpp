#include "quietports.h"

#include "libentry/entrycore.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cowslippin::testing {
namespace {

const VmId self("self");
const VmId peer("peer");

/// A daemon without workers, connected to one peer. The fixture records the
/// messages that the daemon sends and its calls of `Links::setSharesJobs`. A
/// peer is close while it has jobs in common with the daemon, so that its loss
/// has to be detected soon.
class EntryCoreTest : public ::testing::Test
{
protected:
  explicit EntryCoreTest(std::uint64_t processNumber = 0)
    : core(settings(), quietPorts(), links(), clocks(processNumber))
  {
  }

  static EntryCore::Settings settings()
  {
    EntryCore::Settings settings;
    settings.vm = self;
    settings.zone = ZoneName("z1");
    return settings;
  }

  EntryCore::Links links()
  {
    EntryCore::Links links;
    links.send = [this](const VmId& vm, const PeerMessage& message) {
      sent.push_back(message);
      if (std::holds_alternative<PeerRecall>(message))
        recalledFrom.push_back(vm);
      if (const auto* registration = std::get_if<PeerJobRegistration>(&message))
        unanswered.emplace_back(vm, *registration);
      return true;
    };
    links.sendToEach = [](const std::vector<VmId>&, const PeerMessage&) {};
    links.setSharesJobs = [this](const VmId& vm, bool isClose) {
      closeFlagUpdates.emplace_back(vm, isClose);
    };
    links.isConnected = [this](const VmId& vm) {
      return connected.count(vm) > 0;
    };
    links.connectedPeers = [this] { return connected; };
    links.knownPeerCount = [] { return std::size_t(1); };
    links.closeAll = [this] { disconnect(PeerLoss::Closed); };
    links.probeMissing = [] {};
    links.connectMissing = [] {};
    links.post = [](const std::function<void()>&) {};
    return links;
  }

  EntryCore::Clocks clocks(std::uint64_t processNumber)
  {
    EntryCore::Clocks clocks;
    clocks.processNumber = processNumber;
    clocks.steady = [this] { return now; };
    clocks.sinceBoot = [this] { return now.time_since_epoch(); };
    clocks.timeOfDay = [] { return std::int64_t(0); };
    return clocks;
  }

  void connect(const std::string& incarnation = "1")
  {
    PeerHello hello;
    hello.vm = peer;
    hello.zone = ZoneName("z1");
    hello.incarnation = Incarnation(incarnation);
    core.peerUp(hello);
  }

  void disconnect(PeerLoss loss)
  {
    if (connected.erase(peer) > 0)
      core.peerDown(peer, loss);
  }

  void listWorker()
  {
    WorkerRecord::Fields fields;
    fields.id = WorkerId("w1");
    fields.service = ServiceName("booking");
    fields.zone = ZoneName("z1");
    fields.capacity = Resources(16000, 1000, 0);
    core.workersRead({ { fields.id, WorkerRecord(fields) } });
  }

  /// The peers answer that they know of no other registration of the jobs.
  void answerRegistrations()
  {
    for (const auto& [vm, asked] : std::exchange(unanswered, {}))
      core.received(vm,
                    PeerJobRegistrationAck{
                      asked.job, asked.number, VmId(), Duration(), true });
  }

  void receive(const VmId& vm, const PeerMessage& message)
  {
    core.received(vm, message);
    answerRegistrations();
  }

  /// Receives a heartbeat of a daemon that lists these jobs as in progress. The
  /// peer also advertises the shard of the zone's workers.
  void receiveHeartbeat(const VmId& vm, std::vector<LongRunningJob> jobs)
  {
    PeerHeartbeat beat;
    beat.isReady = true;
    if (vm == peer)
      beat.shards[{ ZoneName("z1"), 0 }] = { 5, 4, 0 };
    beat.sentAt = PeerLiveness::toSentAt(now);
    beat.longRunningJobs = std::move(jobs);
    receive(vm, beat);
  }

  void receivePeerHeartbeat(std::vector<LongRunningJob> jobs = {})
  {
    receiveHeartbeat(peer, std::move(jobs));
  }

  void submit(const std::string& job)
  {
    JobSubmission submission;
    submission.job = JobId(job);
    submission.policy.service = ServiceName("booking");
    submission.taskCount = 1;
    submission.timeLeft = std::chrono::seconds(5);
    core.submit(submission,
                [this](const JobAnswer& answer) { answers.push_back(answer); });
    answerRegistrations();
  }

  void advance(int ms)
  {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += 20) {
      now += std::chrono::milliseconds(20);
      core.tick();
      answerRegistrations();
    }
  }

  /// Submits a job and lets the peer, its holder, acknowledge a heartbeat that
  /// lists the job, so that the holder is told to keep it.
  void submitKeptJob(const std::string& job)
  {
    connect();
    listWorker();
    receivePeerHeartbeat();
    submit(job);
    advance(460);
    const auto stamp = PeerLiveness::toSentAt(now);
    receive(peer, PeerHeartbeatAck{ stamp, stamp });
    advance(20);
    EXPECT_EQ(sentOf<PeerJobAdvertised>().size(), 1u);
  }

  /// The messages of type `Message` that were sent.
  template<class Message>
  std::vector<Message> sentOf() const
  {
    std::vector<Message> found;
    for (const PeerMessage& message : sent) {
      if (const auto* one = std::get_if<Message>(&message))
        found.push_back(*one);
    }
    return found;
  }

  void receiveJob()
  {
    JobRequest request;
    request.key = JobKey(peer, JobId("a"), ++lastPart);
    request.tasks = { 0 };
    request.timeLeft = std::chrono::seconds(5);
    receive(peer, PeerSubmit{ request });
  }

  using CloseFlagUpdate = std::pair<VmId, bool>;

  TimePoint now{ std::chrono::seconds(100) };
  std::vector<CloseFlagUpdate> closeFlagUpdates;
  std::set<VmId> connected{ peer };
  std::vector<PeerMessage> sent;
  /// The registrations that wait for an answer, and the peers that are asked.
  std::vector<std::pair<VmId, PeerJobRegistration>> unanswered;
  /// The daemons to which a recall was sent, in order.
  std::vector<VmId> recalledFrom;
  std::vector<JobAnswer> answers;
  std::uint64_t lastPart = 0;
  EntryCore core;
};

/// Guards against a new connection to a close peer that isn't marked as close.
/// The connection replaces an older one whose loss only the other daemon has
/// reported.
TEST_F(EntryCoreTest, AReplacementConnectionToAClosePeerIsMarkedAsClose)
{
  connect();
  receiveJob();
  closeFlagUpdates.clear();
  connect();
  ASSERT_EQ(closeFlagUpdates.size(), 1u);
  EXPECT_EQ(closeFlagUpdates[0], CloseFlagUpdate(peer, true));
}

/// Guards against an unmarked connection to a peer that counts as close
/// already: its connection may be new.
TEST_F(EntryCoreTest, AReceivedJobMarksTheConnectionAsClose)
{
  receiveJob();
  closeFlagUpdates.clear();
  receiveJob();
  ASSERT_FALSE(closeFlagUpdates.empty());
  EXPECT_EQ(closeFlagUpdates.back(), CloseFlagUpdate(peer, true));
}

/// Guards against a log of a lost peer that doesn't name the jobs concerned.
TEST_F(EntryCoreTest, TheLogOfALostPeerNamesTheJobsInCommon)
{
  LogCapture log;
  connect();
  listWorker();
  receivePeerHeartbeat();
  submit("mine");
  now += std::chrono::milliseconds(120);
  core.peerDown(peer, PeerLoss::Silent);
  const auto lines = log.of("peer-lost");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["peer"], "peer");
  EXPECT_EQ(lines[0]["cause"], "silent");
  EXPECT_EQ(lines[0]["sinceReadMs"], 120);
  EXPECT_EQ(lines[0]["jobsHandedTo"], 1);
  EXPECT_EQ(lines[0]["handedTo"], "mine");
  EXPECT_EQ(lines[0]["jobsHeldFor"], 0);
}

TEST_F(EntryCoreTest, AConnectionWithoutJobsInCommonIsNotMarkedAsClose)
{
  connect();
  ASSERT_EQ(closeFlagUpdates.size(), 1u);
  EXPECT_EQ(closeFlagUpdates[0], CloseFlagUpdate(peer, false));
}

/// Guards against a job that is started here while the peer has it in progress
/// for a caller.
TEST_F(EntryCoreTest, AJobThatAPeerListsIsRecalledAndThenPlaced)
{
  connect();
  listWorker();
  receivePeerHeartbeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  submit("a");
  ASSERT_EQ(sentOf<PeerRecall>().size(), 1u);
  EXPECT_EQ(sentOf<PeerRecall>()[0].job, JobId("a"));
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  receive(peer, PeerRecallAck{ JobId("a"), Duration::zero() });
  EXPECT_EQ(sentOf<PeerSubmit>().size(), 1u);
}

/// Guards against a peer whose recall is never answered, and whose submission
/// therefore waits.
TEST_F(EntryCoreTest, ARecallIsAnsweredWhetherTheJobIsThereOrNot)
{
  connect();
  listWorker();
  receivePeerHeartbeat();
  submit("a");
  advance(500);
  receive(peer, PeerRecall{ JobId("a") });
  receive(peer, PeerRecall{ JobId("b") });
  const auto recalled = sentOf<PeerRecallAck>();
  ASSERT_EQ(recalled.size(), 2u);
  EXPECT_EQ(recalled[0].job, JobId("a"));
  EXPECT_EQ(recalled[0].endedWithin, maxOrphanedRun);
  EXPECT_EQ(recalled[1].job, JobId("b"));
  EXPECT_EQ(recalled[1].endedWithin, Duration::zero());
  EXPECT_EQ(sentOf<PeerCancel>().size(), 1u);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// Guards against a duplicate run. A daemon that has just started doesn't know
/// yet which jobs other daemons have in progress.
TEST_F(EntryCoreTest, AJobWaitsUntilOtherDaemonsHaveSentTheirLists)
{
  listWorker();
  submit("a");
  advance(100);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  connect();
  receivePeerHeartbeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  advance(40);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  EXPECT_FALSE(sentOf<PeerRecall>().empty());
}

/// Guards against a keep message that is sent a second late, because daemons
/// acknowledge heartbeats only at intervals.
TEST_F(EntryCoreTest,
       AHeartbeatThatRequestsAnAcknowledgementIsAcknowledgedAtOnce)
{
  connect();
  PeerHeartbeat beat;
  beat.sentAt = PeerLiveness::toSentAt(now);
  receive(peer, beat);
  EXPECT_TRUE(sentOf<PeerHeartbeatAck>().empty());
  beat.sentAt += 1;
  beat.isAckRequested = true;
  receive(peer, beat);
  ASSERT_EQ(sentOf<PeerHeartbeatAck>().size(), 1u);
  EXPECT_EQ(sentOf<PeerHeartbeatAck>()[0].newestReceived, beat.sentAt);
}

/// Guards against a holder that grants a job its whole exclusive time again.
/// Without an acknowledgement in the submission the holder can't tell how long
/// the submission was on its way.
TEST_F(EntryCoreTest, AnExclusiveJobOfUnknownAgeIsRejected)
{
  connect();
  JobRequest request;
  request.key = JobKey(peer, JobId("a"), 1);
  request.tasks = { 0 };
  request.timeLeft = std::chrono::seconds(5);
  request.exclusiveFor = maxRunAfterContact;
  receive(peer, PeerSubmit{ request });
  const auto ends = sentOf<PeerJobEnd>();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].end.outcome, JobOutcome::NotHolder);
}

/// Guards against a keep that is sent before all reachable daemons have read a
/// heartbeat that lists the job.
TEST_F(EntryCoreTest, AHolderIsToldToKeepAJobOnceThePeerHasAcknowledgedIt)
{
  connect();
  listWorker();
  receivePeerHeartbeat();
  submit("a");
  const TimePoint submittedAt = now;
  advance(600);
  EXPECT_TRUE(sentOf<PeerJobAdvertised>().empty())
    << "no heartbeat was acknowledged";
  const auto stamp = PeerLiveness::toSentAt(submittedAt) + 449999;
  receive(peer, PeerHeartbeatAck{ stamp, stamp });
  advance(20);
  EXPECT_TRUE(sentOf<PeerJobAdvertised>().empty())
    << "the acknowledged heartbeat didn't list the job yet";
  receive(peer, PeerHeartbeatAck{ stamp + 1, stamp + 1 });
  advance(20);
  EXPECT_EQ(sentOf<PeerJobAdvertised>().size(), 1u);
}

/// Guards against a duplicate run after a peer's restart. The new process
/// doesn't list the jobs of the process before, whose orphaned runs go on until
/// their leases expire.
TEST_F(EntryCoreTest, AJobOfARestartedPeerWaitsForItsOrphanedRuns)
{
  connect("1");
  listWorker();
  receivePeerHeartbeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  core.peerDown(peer, PeerLoss::Closed);
  advance(300);
  connect("2");
  receivePeerHeartbeat();
  submit("a");
  advance(100);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
}

/// Guards against a job that waits until its caller's deadline, because the
/// recall was lost with a connection that another one has replaced.
TEST_F(EntryCoreTest, ARecallOverAReplacedConnectionIsSentAgain)
{
  connect();
  listWorker();
  receivePeerHeartbeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  submit("a");
  ASSERT_EQ(sentOf<PeerRecall>().size(), 1u);
  connect();
  receivePeerHeartbeat({ { JobId("a"), std::chrono::milliseconds(1000) } });
  advance(200);
  EXPECT_GE(sentOf<PeerRecall>().size(), 2u);
}

/// Guards against a daemon that continues a job after a suspension although the
/// job has been submitted at another daemon meanwhile.
TEST_F(EntryCoreTest, AKeptJobEndsWhenADaemonResumesTooLate)
{
  submitKeptJob("a");
  now += std::chrono::seconds(2);
  core.tick();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// As above, where the daemon detects the loss of its connections before it
/// detects the suspension. The time left to a job on a daemon that may be
/// partitioned then counts from now and not from before the suspension.
TEST_F(EntryCoreTest,
       AKeptJobEndsWhenADaemonResumesTooLateAndDetectsLossesFirst)
{
  submitKeptJob("a");
  now += std::chrono::seconds(2);
  disconnect(PeerLoss::Silent);
  core.tick();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// Guards against a job that goes on in the smaller part of a partitioned group
/// while its caller submits it again in the larger part.
TEST_F(EntryCoreTest, AKeptJobEndsWhenNoOtherDaemonIsReachable)
{
  submitKeptJob("a");
  advance(400);
  disconnect(PeerLoss::Silent);
  advance(400);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// Guards against a job that is started while the second of two daemons that
/// list it still has it in progress. The first of them may have abandoned the
/// job long before.
TEST_F(EntryCoreTest, AJobThatTwoPeersListIsPlacedAfterBothHaveAnswered)
{
  const VmId other("other");
  const JobId job("a");
  connect();
  listWorker();
  connected.insert(other);
  receivePeerHeartbeat({ { job, std::chrono::milliseconds(1300) } });
  receiveHeartbeat(other, { { job, Duration::zero() } });
  submit("a");
  ASSERT_FALSE(recalledFrom.empty());
  const VmId firstRecalled = recalledFrom.front();
  const VmId secondRecalled = firstRecalled == peer ? other : peer;
  receive(firstRecalled, PeerRecallAck{ job, Duration::zero() });
  receiveHeartbeat(firstRecalled, {});
  advance(40);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  EXPECT_EQ(recalledFrom.back().value(), secondRecalled.value());
  receive(secondRecalled, PeerRecallAck{ job, Duration::zero() });
  receiveHeartbeat(secondRecalled, {});
  advance(40);
  EXPECT_EQ(sentOf<PeerSubmit>().size(), 1u);
}

/// Guards against a peer that counts as a registrar for good although its
/// connection was closed while its hello was handled, because that was when the
/// daemon noticed that it had been paused.
TEST_F(EntryCoreTest, APeerThatIsClosedDuringItsHelloIsNoRegistrar)
{
  connected.insert(peer);
  now += std::chrono::milliseconds(300);
  connect();
  ASSERT_TRUE(connected.empty());
  for (int i = 0; i < 500; ++i) {
    now += std::chrono::milliseconds(20);
    core.tick();
  }
  for (int i = 0; i < 20; ++i) {
    JobSubmission submission;
    submission.job = JobId("job" + std::to_string(i));
    submission.taskCount = 1;
    submission.timeLeft = std::chrono::seconds(2);
    core.submit(submission, [](const JobAnswer&) {});
  }
  for (int i = 0; i < 10; ++i) {
    now += std::chrono::milliseconds(20);
    core.tick();
  }
  EXPECT_TRUE(unanswered.empty())
    << unanswered.size() << " of 20 jobs are registered at the closed peer";
}

/// Guards against a lost peer that counts as a member and holder for good: the
/// daemon noticed with a heartbeat of that peer that it had been paused, and
/// closed the connection of the heartbeat.
TEST_F(EntryCoreTest, APeerWhoseMessageShowsAPauseIsNotAMember)
{
  connect();
  listWorker();
  receivePeerHeartbeat();
  const std::string shard = ShardId(ZoneName("z1"), 0).toString();
  ASSERT_EQ(core.stateJson()["shards"][shard], peer.value());
  now += std::chrono::milliseconds(4000);
  receivePeerHeartbeat();
  ASSERT_TRUE(connected.empty());
  advance(10'000);
  EXPECT_EQ(core.stateJson()["shards"][shard], "");
}

/// Guards against a message of any kind that is applied, or answered, after the
/// pause that it shows has closed its connection.
TEST_F(EntryCoreTest, AMessageThatShowsAPauseIsIgnored)
{
  JobRequest request;
  request.key = JobKey(peer, JobId("a"), 1);
  request.tasks = { 0 };
  request.timeLeft = std::chrono::seconds(5);
  PeerHeartbeat beat;
  beat.isAckRequested = true;
  const std::vector<PeerMessage> messages{
    beat,
    PeerSubmit{ request },
    PeerRecall{ JobId("a"), Duration(), false },
    PeerJobRegistration{ JobId("a"), 1, {}, true },
    PeerConfigRequest{ 1, 0, 1 },
  };
  for (const PeerMessage& message : messages) {
    connected.insert(peer);
    connect();
    receive(peer, message);
    EXPECT_FALSE(sent.empty()) << "kind " << message.index();
    now += std::chrono::milliseconds(300);
    sent.clear();
    closeFlagUpdates.clear();
    receive(peer, message);
    EXPECT_TRUE(connected.empty());
    EXPECT_TRUE(sent.empty()) << "kind " << message.index();
    EXPECT_TRUE(closeFlagUpdates.empty()) << "kind " << message.index();
  }
}

/// A process of the daemon that submits one job to the peer.
class NumberedProcess : public EntryCoreTest
{
public:
  explicit NumberedProcess(std::uint64_t processNumber)
    : EntryCoreTest(processNumber)
  {
    connect();
    listWorker();
    receivePeerHeartbeat();
    submit("a");
    for (const PeerSubmit& submission : sentOf<PeerSubmit>())
      submissions.push_back(submission.request.key.part());
    for (const auto& registration : sentOf<PeerJobRegistration>())
      registrations.push_back(registration.number);
  }

  void TestBody() override {}

  /// The numbers that were sent.
  std::vector<std::uint64_t> submissions;
  std::vector<std::uint64_t> registrations;
};

/// Guards against messages about submissions or registrations of a killed
/// process that match those of the process that was started in its place.
TEST(EntryCoreNumbers, TwoProcessesOfADaemonUseDifferentOnes)
{
  const NumberedProcess earlier(1);
  const NumberedProcess later(2);
  ASSERT_EQ(earlier.submissions.size(), 1u);
  ASSERT_EQ(later.submissions.size(), 1u);
  EXPECT_NE(earlier.submissions[0], later.submissions[0]);
  ASSERT_EQ(earlier.registrations.size(), 1u);
  ASSERT_EQ(later.registrations.size(), 1u);
  EXPECT_NE(earlier.registrations[0], later.registrations[0]);
}

/// Guards against numbers that a JSON parser of the logs can't read exactly.
/// Zero stands for no earlier submission.
TEST(EntryCoreNumbers, AreFromOneToTwoToThePowerOf53)
{
  for (const std::uint64_t processNumber :
       { std::uint64_t(0), ~std::uint64_t(0) }) {
    const NumberedProcess process(processNumber);
    ASSERT_EQ(process.submissions.size(), 1u);
    EXPECT_GE(process.submissions[0], 1u);
    EXPECT_LT(process.submissions[0], std::uint64_t(1) << 53);
  }
}

} // namespace
} // namespace cowslippin::testing
