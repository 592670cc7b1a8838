#include "libentry/entrycore.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>
#include <vector>

namespace cowslippin::testing {
namespace {

const VmId self("self");
const VmId peer("peer");

/// A daemon without workers. Records the calls of `Links::setClose`.
class EntryCoreTest : public ::testing::Test
{
protected:
  EntryCoreTest()
    : core(settings(), ports(), links(), clocks())
  {
  }

  static EntryCore::Settings settings()
  {
    EntryCore::Settings settings;
    settings.vm = self;
    settings.zone = ZoneName("z1");
    return settings;
  }

  static EntryCore::Ports ports()
  {
    EntryCore::Ports ports;
    ports.hold = [](const auto&, const auto&, auto, const auto&) {};
    ports.start = [](const auto&, const auto&, auto, const auto&) {};
    ports.stop = [](const auto&, const auto&, auto, const auto&) {};
    ports.publishHolder = [](const ShardId&, FencingToken) {};
    ports.readConfiguration = [](const std::string&) -> Result<RoutingTable> {
      return RoutingTable();
    };
    ports.isConfigurationArriving = [] { return false; };
    ports.workerNews = [](const PeerWorkerNews&) {};
    return ports;
  }

  EntryCore::Links links()
  {
    EntryCore::Links links;
    links.send = [this](const VmId& vm, const PeerMessage& message) {
      sent.push_back(message);
      if (std::holds_alternative<PeerRecall>(message))
        asked.push_back(vm);
      return true;
    };
    links.sendToEach = [](const std::vector<VmId>&, const PeerMessage&) {};
    links.setClose = [this](const VmId& vm, bool isClose) {
      closeUpdates.emplace_back(vm, isClose);
    };
    links.isUp = [](const VmId&) { return true; };
    links.up = [this] { return up; };
    links.knownCount = [] { return std::size_t(1); };
    links.dropAll = [this] { lose(PeerLoss::Closed); };
    links.post = [](const std::function<void()>&) {};
    return links;
  }

  EntryCore::Clocks clocks()
  {
    EntryCore::Clocks clocks;
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

  void lose(PeerLoss loss)
  {
    if (up.erase(peer) > 0)
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

  /// A daemon has these jobs under way. The peer holds the zone's workers.
  void receiveList(const VmId& vm, std::vector<LongJob> jobs)
  {
    PeerBeat beat;
    beat.isReady = true;
    if (vm == peer)
      beat.shards[{ ZoneName("z1"), 0 }] = { 5, 4, 0 };
    beat.sentAt = PeerContact::stamp(now);
    beat.longJobs = std::move(jobs);
    core.received(vm, beat);
  }

  void receiveBeat(std::vector<LongJob> jobs = {})
  {
    receiveList(peer, std::move(jobs));
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
  }

  void pass(int ms)
  {
    for (int passed = 0; passed < ms; passed += 20) {
      now += std::chrono::milliseconds(20);
      core.tick();
    }
  }

  /// A job that the peer holds and has acknowledged to know of.
  void keepJob(const std::string& job)
  {
    connect();
    listWorker();
    receiveBeat();
    submit(job);
    pass(460);
    const auto stamp = PeerContact::stamp(now);
    core.received(peer, PeerBeatAck{ stamp, stamp });
    pass(20);
    EXPECT_EQ(sentOf<PeerKeep>().size(), 1u);
  }

  /// Of the messages of one kind that were sent.
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
    core.received(peer, PeerSubmit{ request });
  }

  using CloseUpdate = std::pair<VmId, bool>;

  TimePoint now{ std::chrono::seconds(100) };
  std::vector<CloseUpdate> closeUpdates;
  std::set<VmId> up{ peer };
  std::vector<PeerMessage> sent;
  /// The daemons that were sent a recall.
  std::vector<VmId> asked;
  std::vector<JobAnswer> answers;
  std::uint64_t lastPart = 0;
  EntryCore core;
};

/// Guards against a replaced connection that only one daemon reports as lost.
TEST_F(EntryCoreTest, AReplacementConnectionToAClosePeerIsMarkedClose)
{
  connect();
  receiveJob();
  closeUpdates.clear();
  connect();
  ASSERT_EQ(closeUpdates.size(), 1u);
  EXPECT_EQ(closeUpdates[0], CloseUpdate(peer, true));
}

/// The peer is close already, but its connection may be new and unmarked.
TEST_F(EntryCoreTest, AReceivedJobMarksTheConnectionClose)
{
  receiveJob();
  closeUpdates.clear();
  receiveJob();
  ASSERT_FALSE(closeUpdates.empty());
  EXPECT_EQ(closeUpdates.back(), CloseUpdate(peer, true));
}

/// Guards against a loss that doesn't tell whose jobs it concerns.
TEST_F(EntryCoreTest, ALostDaemonIsToldWithTheJobsInCommon)
{
  LogCapture log;
  connect();
  listWorker();
  receiveBeat();
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

TEST_F(EntryCoreTest, AConnectionWithoutJobsInCommonIsNotMarkedClose)
{
  connect();
  ASSERT_EQ(closeUpdates.size(), 1u);
  EXPECT_EQ(closeUpdates[0], CloseUpdate(peer, false));
}

/// Guards against a job begun here while the peer's caller has it under way.
TEST_F(EntryCoreTest, AJobThatAPeerListsIsRecalledAndThenPlaced)
{
  connect();
  listWorker();
  receiveBeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  submit("a");
  ASSERT_EQ(sentOf<PeerRecall>().size(), 1u);
  EXPECT_EQ(sentOf<PeerRecall>()[0].job, JobId("a"));
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  core.received(peer, PeerRecalled{ JobId("a"), Duration::zero() });
  EXPECT_EQ(sentOf<PeerSubmit>().size(), 1u);
}

/// Guards against a peer that waits for the answer to its recall.
TEST_F(EntryCoreTest, ARecallIsAnsweredWhetherTheJobIsThereOrNot)
{
  connect();
  listWorker();
  receiveBeat();
  submit("a");
  pass(500);
  core.received(peer, PeerRecall{ JobId("a") });
  core.received(peer, PeerRecall{ JobId("b") });
  const auto recalled = sentOf<PeerRecalled>();
  ASSERT_EQ(recalled.size(), 2u);
  EXPECT_EQ(recalled[0].job, JobId("a"));
  EXPECT_EQ(recalled[0].overIn, lostRunLimit);
  EXPECT_EQ(recalled[1].job, JobId("b"));
  EXPECT_EQ(recalled[1].overIn, Duration::zero());
  EXPECT_EQ(sentOf<PeerCancel>().size(), 1u);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// Guards against a daemon that has just started and doesn't know yet what is
/// under way at others.
TEST_F(EntryCoreTest, AJobWaitsUntilTheOthersHaveTold)
{
  listWorker();
  submit("a");
  pass(100);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  connect();
  receiveBeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  pass(40);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  EXPECT_FALSE(sentOf<PeerRecall>().empty());
}

/// Guards against a keep that comes a second late in a group whose daemons
/// acknowledge at intervals.
TEST_F(EntryCoreTest, AHeartbeatThatAsksForItIsAcknowledgedAtOnce)
{
  connect();
  PeerBeat beat;
  beat.sentAt = PeerContact::stamp(now);
  core.received(peer, beat);
  EXPECT_TRUE(sentOf<PeerBeatAck>().empty());
  beat.sentAt += 1;
  beat.asksAck = true;
  core.received(peer, beat);
  ASSERT_EQ(sentOf<PeerBeatAck>().size(), 1u);
  EXPECT_EQ(sentOf<PeerBeatAck>()[0].newest, beat.sentAt);
}

/// Guards against a job whose time on its way is unknown and that is given all
/// of what it had when it was sent.
TEST_F(EntryCoreTest, AnExclusiveJobOfUnknownAgeIsGivenBack)
{
  connect();
  JobRequest request;
  request.key = JobKey(peer, JobId("a"), 1);
  request.tasks = { 0 };
  request.timeLeft = std::chrono::seconds(5);
  request.exclusiveFor = wantedRunLimit;
  core.received(peer, PeerSubmit{ request });
  const auto ends = sentOf<PeerJobEnd>();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].end.outcome, JobOutcome::NotHolder);
}

/// Guards against a job kept for a caller before all that can be reached have
/// read of it.
TEST_F(EntryCoreTest, AHolderIsToldToKeepAJobOnceThePeerHasReadOfIt)
{
  connect();
  listWorker();
  receiveBeat();
  submit("a");
  const TimePoint submittedAt = now;
  pass(600);
  EXPECT_TRUE(sentOf<PeerKeep>().empty()) << "nothing acknowledged";
  const auto stamp = PeerContact::stamp(submittedAt) + 449999;
  core.received(peer, PeerBeatAck{ stamp, stamp });
  pass(20);
  EXPECT_TRUE(sentOf<PeerKeep>().empty()) << "it wasn't listed yet";
  core.received(peer, PeerBeatAck{ stamp + 1, stamp + 1 });
  pass(20);
  EXPECT_EQ(sentOf<PeerKeep>().size(), 1u);
}

/// Guards against a peer that starts again and knows nothing of the jobs of its
/// earlier life, whose runs go on until their leases end.
TEST_F(EntryCoreTest, APeerThatStartedAgainLeavesItsRunsToEnd)
{
  connect("1");
  listWorker();
  receiveBeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  core.peerDown(peer, PeerLoss::Closed);
  pass(300);
  connect("2");
  receiveBeat();
  submit("a");
  pass(100);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
}

/// Guards against a recall that is lost with a connection that another one
/// replaces, after which the job waits for as long as its caller does.
TEST_F(EntryCoreTest, ARecallOverAReplacedConnectionIsSentAgain)
{
  connect();
  listWorker();
  receiveBeat({ { JobId("a"), std::chrono::milliseconds(900) } });
  submit("a");
  ASSERT_EQ(sentOf<PeerRecall>().size(), 1u);
  connect();
  receiveBeat({ { JobId("a"), std::chrono::milliseconds(1000) } });
  pass(200);
  EXPECT_GE(sentOf<PeerRecall>().size(), 2u);
}

/// Guards against a daemon that wakes and goes on with a job that has come to
/// another one meanwhile.
TEST_F(EntryCoreTest, AKeptJobEndsWhenADaemonWakesTooLate)
{
  keepJob("a");
  now += std::chrono::seconds(2);
  core.tick();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// The same where it first hears that its connections are lost: what is left to
/// one that may be cut off counts from now and not from before it stood still.
TEST_F(EntryCoreTest, AKeptJobEndsWhenADaemonWakesTooLateAndHearsOfLossesFirst)
{
  keepJob("a");
  now += std::chrono::seconds(2);
  lose(PeerLoss::Silent);
  core.tick();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// Guards against a job in the smaller part of a cut group that goes on while
/// its caller is at the larger one.
TEST_F(EntryCoreTest, AKeptJobEndsWhereTheOthersCannotBeReached)
{
  keepJob("a");
  pass(400);
  lose(PeerLoss::Silent);
  pass(400);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, JobAnswer::Kind::Unknown);
}

/// Guards against a job begun while the second of two daemons that list it has
/// it at work: the first may have given it up long before.
TEST_F(EntryCoreTest, AJobThatTwoPeersListIsPlacedWhenBothHaveAnswered)
{
  const VmId other("other");
  const JobId job("a");
  connect();
  listWorker();
  up.insert(other);
  receiveBeat({ { job, std::chrono::milliseconds(1300) } });
  receiveList(other, { { job, Duration::zero() } });
  submit("a");
  ASSERT_FALSE(asked.empty());
  const VmId firstAsked = asked.front();
  const VmId secondAsked = firstAsked == peer ? other : peer;
  core.received(firstAsked, PeerRecalled{ job, Duration::zero() });
  receiveList(firstAsked, {});
  pass(40);
  EXPECT_TRUE(sentOf<PeerSubmit>().empty());
  EXPECT_EQ(asked.back().value(), secondAsked.value());
  core.received(secondAsked, PeerRecalled{ job, Duration::zero() });
  receiveList(secondAsked, {});
  pass(40);
  EXPECT_EQ(sentOf<PeerSubmit>().size(), 1u);
}

} // namespace
} // namespace cowslippin::testing
