#include "libentry/entrycore.h"

#include "entry/quietports.h"

#include <benchmark/benchmark.h>

namespace cowslippin {
namespace {

constexpr unsigned groupSize = 44;
constexpr unsigned zoneCount = 3;
constexpr unsigned shardsPerZone = 4;
/// A heartbeat every 140 ms, spread over the other daemons.
constexpr Duration heartbeatSpacing =
  std::chrono::milliseconds(140) / (groupSize - 1);
constexpr Duration tickInterval = std::chrono::milliseconds(20);

ZoneName
zoneOf(unsigned daemon)
{
  return ZoneName("zone-" + std::to_string(daemon % zoneCount));
}

/// A daemon without jobs in a group of 44, of which 12 hold a shard each.
class Group
{
public:
  Group()
    : m_core(settings(), testing::quietPorts(), links(), clocks())
  {
    for (unsigned daemon = 1; daemon < groupSize; ++daemon)
      m_connected.insert(VmId("vm-" + std::to_string(daemon)));
    for (unsigned daemon = 1; daemon < groupSize; ++daemon) {
      PeerHello hello;
      hello.vm = VmId("vm-" + std::to_string(daemon));
      hello.zone = zoneOf(daemon);
      hello.incarnation = Incarnation("1");
      m_core.peerUp(hello);
      m_beats.emplace_back(hello.vm, beatOf(daemon));
    }
    listWorkers();
    for (unsigned i = 0; i < groupSize; ++i)
      receiveHeartbeat();
  }

  void receiveHeartbeat()
  {
    m_now += heartbeatSpacing;
    auto& [vm, message] = m_beats[m_next++ % m_beats.size()];
    std::get<PeerHeartbeat>(message).sentAt = PeerLiveness::toSentAt(m_now);
    m_core.received(vm, message);
  }

  void tick()
  {
    m_now += tickInterval;
    m_core.tick();
  }

private:
  static EntryCore::Settings settings()
  {
    EntryCore::Settings settings;
    settings.vm = VmId("vm-0");
    settings.zone = zoneOf(0);
    return settings;
  }

  static PeerMessage beatOf(unsigned daemon)
  {
    PeerHeartbeat beat;
    beat.isReady = true;
    beat.workerCapacity = 40;
    beat.nextHeartbeatWithin = std::chrono::milliseconds(140);
    if (daemon <= zoneCount * shardsPerZone)
      beat.shards[ShardId(
        zoneOf(daemon), (daemon - 1) / zoneCount, shardsPerZone)] = {
        100 + daemon, 20, daemon
      };
    return beat;
  }

  void listWorkers()
  {
    WorkerList workers;
    for (unsigned i = 0; i < 350; ++i) {
      WorkerRecord::Fields fields;
      fields.id = WorkerId("worker-" + std::to_string(i));
      fields.service = ServiceName("booking");
      fields.zone = zoneOf(i);
      fields.capacity = Resources(32000, 1000, 0);
      workers[fields.id] = WorkerRecord(fields);
    }
    m_core.workersRead(workers);
  }

  EntryCore::Links links()
  {
    EntryCore::Links links;
    links.send = [](const VmId&, const PeerMessage&) { return true; };
    links.sendToEach = [](const std::vector<VmId>&, const PeerMessage&) {};
    links.setSharesJobs = [](const VmId&, bool) {};
    links.isConnected = [this](const VmId& vm) {
      return m_connected.count(vm) > 0;
    };
    links.connectedPeers = [this] { return m_connected; };
    links.knownPeerCount = [] { return std::size_t(groupSize - 1); };
    links.closeAll = [] {};
    links.probeMissing = [] {};
    links.connectMissing = [] {};
    links.post = [](const std::function<void()>&) {};
    return links;
  }

  EntryCore::Clocks clocks()
  {
    EntryCore::Clocks clocks;
    clocks.steady = [this] { return m_now; };
    clocks.sinceBoot = [this] { return m_now.time_since_epoch(); };
    clocks.timeOfDay = [] { return std::int64_t(0); };
    return clocks;
  }

  TimePoint m_now{ std::chrono::seconds(1000) };
  std::set<VmId> m_connected;
  std::vector<std::pair<VmId, PeerMessage>> m_beats;
  std::size_t m_next = 0;
  EntryCore m_core;
};

void
receiveHeartbeat(benchmark::State& state)
{
  Group group;
  for ([[maybe_unused]] auto _ : state)
    group.receiveHeartbeat();
}

/// Includes the heartbeats that fall due, one tick in seven, without their
/// encoding.
void
idleTick(benchmark::State& state)
{
  Group group;
  for ([[maybe_unused]] auto _ : state)
    group.tick();
}

BENCHMARK(receiveHeartbeat);
BENCHMARK(idleTick);

} // namespace
} // namespace cowslippin
