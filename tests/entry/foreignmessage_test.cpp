#include "quietports.h"

#include "libentry/entrycore.h"

#include "support/mutatedbytes.h"
#include "support/peersamples.h"

#include <gtest/gtest.h>

#include <random>

namespace cowslippin::testing {
namespace {

constexpr int messagesPerSeed = 4000;

/// A daemon with two workers that answer nothing, callers' jobs, and peers that
/// send messages which decode, but may say anything.
class ForeignMessages : public ::testing::TestWithParam<int>
{
protected:
  ForeignMessages()
    : random(static_cast<std::uint64_t>(GetParam()))
    , core(settings(), quietPorts(), links(), clocks())
  {
  }

  static EntryCore::Settings settings()
  {
    EntryCore::Settings settings;
    settings.vm = VmId("vm-1");
    settings.zone = ZoneName("z1");
    return settings;
  }

  EntryCore::Links links()
  {
    EntryCore::Links links;
    links.send = [](const VmId&, const PeerMessage& message) {
      // What a daemon sends must be decodable.
      const auto decoded = decodePeerMessage(encoded(message));
      EXPECT_TRUE(decoded) << message.index() << decoded.error().detail();
      return true;
    };
    links.sendToEach = [this](const std::vector<VmId>& vms,
                              const PeerMessage& message) {
      if (!vms.empty())
        sendOnce(message);
    };
    links.setSharesJobs = [](const VmId&, bool) {};
    links.isConnected = [this](const VmId& vm) { return up.count(vm) > 0; };
    links.connectedPeers = [this] { return up; };
    links.knownPeerCount = [] { return std::size_t(3); };
    links.closeAll = [] {};
    links.probeMissing = [] {};
    links.connectMissing = [] {};
    links.post = [this](std::function<void()> function) {
      posted.push_back(std::move(function));
    };
    return links;
  }

  static void sendOnce(const PeerMessage& message)
  {
    EXPECT_TRUE(decodePeerMessage(encoded(message))) << message.index();
  }

  EntryCore::Clocks clocks()
  {
    EntryCore::Clocks clocks;
    clocks.steady = [this] { return now; };
    clocks.sinceBoot = [this] { return now.time_since_epoch(); };
    clocks.timeOfDay = [] { return std::int64_t(1704067200000); };
    return clocks;
  }

  void listWorkers()
  {
    WorkerList workers;
    for (const char* name : { "w1", "w2" }) {
      WorkerRecord::Fields fields;
      fields.id = WorkerId(name);
      fields.service = ServiceName("booking");
      fields.zone = ZoneName("z1");
      fields.capacity = Resources(16000, 1000, 0);
      workers[fields.id] = WorkerRecord(fields);
    }
    core.workersRead(workers);
  }

  void connectOrDisconnect()
  {
    const VmId vm("vm-" + std::to_string(2 + random() % 3));
    if (up.erase(vm) > 0) {
      core.peerDown(vm, PeerLoss::Closed);
      return;
    }
    PeerHello hello;
    hello.vm = vm;
    hello.zone = ZoneName("z1");
    hello.incarnation = Incarnation(std::to_string(random()));
    hello.address = Address("127.9.0.2", 7720);
    up.insert(vm);
    core.peerUp(hello);
  }

  void submit()
  {
    JobSubmission submission;
    submission.job = JobId(random() % 2 == 0 ? "j" : "0123456789abcdef");
    submission.taskPrefix = submission.job.value() + ".0.0.";
    submission.taskCount = 1 + static_cast<unsigned>(random() % 4);
    submission.policy.service = ServiceName("booking");
    submission.needs.resources = Resources(1000, 10, 0);
    submission.timeLeft = std::chrono::seconds(2);
    core.submit(std::move(submission), [](const JobAnswer&) {});
  }

  void tick()
  {
    now += std::chrono::milliseconds(20);
    core.observeTime();
    core.tick();
    for (const auto& function : std::exchange(posted, {}))
      function();
  }

  std::mt19937_64 random;
  TimePoint now{ std::chrono::hours(1) };
  std::set<VmId> up;
  std::vector<std::function<void()>> posted;
  EntryCore core;
};

/// Guards against an exception, or an endless loop, from a message of another
/// daemon that decodes.
TEST_P(ForeignMessages, AreProcessed)
{
  std::vector<std::string> inputs;
  for (const PeerMessage& message : samples())
    inputs.push_back(encoded(message));
  MutatedBytes bytes(
    inputs, cborFragments(), static_cast<std::uint64_t>(GetParam()));
  listWorkers();
  for (int i = 0; i < messagesPerSeed; ++i) {
    if (random() % 50 == 0 || up.empty())
      connectOrDisconnect();
    if (random() % 20 == 0)
      submit();
    if (random() % 10 == 0)
      tick();
    const bool isChanged = random() % 3 > 0;
    const auto message = decodePeerMessage(
      isChanged ? bytes.next() : inputs[random() % inputs.size()]);
    if (message && !up.empty())
      core.received(*up.begin(), *message);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ForeignMessages, ::testing::Range(1, 21));

} // namespace
} // namespace cowslippin::testing
