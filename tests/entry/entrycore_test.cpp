#include "libentry/entrycore.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

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
    links.send = [](const VmId&, const PeerMessage&) { return true; };
    links.sendToEach = [](const std::vector<VmId>&, const PeerMessage&) {};
    links.setClose = [this](const VmId& vm, bool isClose) {
      closeUpdates.emplace_back(vm, isClose);
    };
    links.isUp = [](const VmId&) { return true; };
    links.up = [] { return std::set<VmId>{ peer }; };
    links.knownCount = [] { return std::size_t(1); };
    links.dropAll = [] {};
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

  void connect()
  {
    PeerHello hello;
    hello.vm = peer;
    hello.zone = ZoneName("z1");
    core.peerUp(hello);
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
  WorkerRecord::Fields fields;
  fields.id = WorkerId("w1");
  fields.service = ServiceName("booking");
  fields.zone = ZoneName("z1");
  fields.capacity = Resources(16000, 1000, 0);
  core.workersRead({ { fields.id, WorkerRecord(fields) } });
  PeerBeat beat;
  beat.isReady = true;
  beat.shards[{ ZoneName("z1"), 0 }] = { 5, 4, 0 };
  core.received(peer, beat);
  JobSubmission submission;
  submission.job = JobId("mine");
  submission.policy.service = ServiceName("booking");
  submission.taskCount = 1;
  submission.timeLeft = std::chrono::seconds(5);
  core.submit(submission, [](const JobAnswer&) {});
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

} // namespace
} // namespace cowslippin::testing
