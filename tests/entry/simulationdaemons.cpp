#include "simulation.h"
#include "simulationtimes.h"

#include <algorithm>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// How long after its start a daemon reads the holders' entries at the platform
/// for the first time, and the intervals at which it reads them later.
constexpr Duration initialReadDelay = milliseconds(15);
constexpr Duration frequentReadInterval = milliseconds(900);
constexpr Duration regularReadInterval = milliseconds(2000);
constexpr const char* configuration = "1";

} // namespace

void
Simulation::readWorkerList(std::size_t node)
{
  deliver(node, m_nodes[node].incarnation, [this, node] {
    m_nodes[node].core->workersRead(workerList());
  });
}

/// Each daemon reads the list of workers after a random delay of its own.
void
Simulation::scheduleWorkerListReads()
{
  const auto maxDelayMs =
    static_cast<std::size_t>(toMilliseconds(m_settings.maxReadDelay));
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    schedule(milliseconds(randomBelow(maxDelayMs)),
             [this, node] { readWorkerList(node); });
}

void
Simulation::readEvacuations(std::size_t node)
{
  if (node < m_settings.daemonsWithoutEvacuationReads)
    return;
  deliver(node, m_nodes[node].incarnation, [this, node] {
    m_nodes[node].core->evacuationsRead(m_evacuations);
  });
}

void
Simulation::deliver(std::size_t index,
                    unsigned incarnation,
                    const Action& action)
{
  deliver(index, incarnation, action, processortime::message);
}

void
Simulation::deliver(std::size_t index,
                    unsigned incarnation,
                    const Action& action,
                    Duration processorTime)
{
  if (hasProcessor()) {
    Node& node = m_nodes[index];
    if (!node.isAlive || node.incarnation != incarnation)
      return;
    node.work.emplace_back(processorTime, action);
    if (!node.isWorking)
      serveNextInput(index, incarnation);
    return;
  }
  if (!isProcessingDelayed(index)) {
    process(index, incarnation, action);
    return;
  }
  Node& node = m_nodes[index];
  node.processingUntil =
    std::max(node.processingUntil, m_now + node.processingDelay.at(m_now));
  schedule(node.processingUntil - m_now, [this, index, incarnation, action] {
    process(index, incarnation, action);
  });
}

/// Serves the input that has waited longest; then the next one.
void
Simulation::serveNextInput(std::size_t index, unsigned incarnation)
{
  Node& node = m_nodes[index];
  if (!node.isAlive || node.incarnation != incarnation)
    return;
  node.isWorking = !node.work.empty();
  if (!node.isWorking)
    return;
  const auto [processorTime, action] = std::move(node.work.front());
  node.work.pop_front();
  const Duration cpu =
    processorTime + std::exchange(node.charged, Duration::zero());
  const double wallMicroseconds =
    double(cpu.count()) / m_settings.processorCores;
  schedule(Duration(std::int64_t(wallMicroseconds)),
           [this, index, incarnation, action = action] {
             process(index, incarnation, action);
             serveNextInput(index, incarnation);
           });
}

void
Simulation::process(std::size_t index,
                    unsigned incarnation,
                    const Action& action)
{
  Node& node = m_nodes[index];
  if (!node.isAlive || node.incarnation != incarnation)
    return;
  if (node.isFrozen)
    node.deferred.push_back([this, index, incarnation, action] {
      process(index, incarnation, action);
    });
  else
    action();
}

bool
Simulation::isProcessingDelayed(std::size_t index) const
{
  const Node& node = m_nodes[index];
  return hasProcessor() || node.processingUntil >= m_now ||
         node.processingDelay.at(m_now) > Duration::zero();
}

void
Simulation::delayProcessing(std::size_t daemon, const Ramp::Shape& delay)
{
  m_nodes[daemon].processingDelay = Ramp(delay, m_now);
}

void
Simulation::startNode(std::size_t index)
{
  Node& node = m_nodes[index];
  if (node.isAlive)
    return;
  ++node.incarnation;
  node.isAlive = true;
  node.isFrozen = false;
  node.deferred.clear();
  node.work.clear();
  node.isWorking = false;
  node.charged = Duration::zero();
  node.seenHeartbeats.clear();
  EntryCore::Settings settings;
  settings.vm = node.id;
  settings.zone = ZoneName("z" + std::to_string(node.zone));
  if (m_settings.isLinkRateKnown)
    settings.limits.megabitsPerSecond = m_settings.linkMegabitsPerSecond;
  const bool isFirstOfZone = index % m_settings.daemonsPerZone == 0;
  settings.limits.cores =
    isFirstOfZone ? m_settings.firstDaemonCores : m_settings.otherDaemonsCores;
  node.core = std::make_unique<EntryCore>(
    settings, ports(index), links(index), clocks(index));
  readEvacuations(index);
  node.core->configurationRead(configuration);
  node.core->workersRead(workerList());
  schedule(initialReadDelay, [this, index, incarnation = node.incarnation] {
    readHolders(index, incarnation);
  });
  tickNode(index, node.incarnation);
}

/// Lets the daemon read which holder each shard has by the platform's entries:
/// after its start, and then at the interval that the daemon asks for.
void
Simulation::readHolders(std::size_t index, unsigned incarnation)
{
  if (!m_nodes[index].isAlive || m_nodes[index].incarnation != incarnation)
    return;
  deliver(index, incarnation, [this, index] {
    Node& node = m_nodes[index];
    FencingToken highest = 0;
    for (const auto& [shard, published] : m_publishedHolders) {
      highest = std::max(highest, published.token);
      node.core->lastHolderRead(shard, published.holder);
      unsigned& known = node.seenHeartbeats[shard];
      if (known != 0 && known != published.heartbeats)
        node.core->holderRead(shard, published.holder);
      known = published.heartbeats;
    }
    node.core->holdersRead(highest);
  });
  const bool needsFrequentReads =
    m_nodes[index].core->needsFrequentHolderReads();
  schedule(needsFrequentReads ? frequentReadInterval : regularReadInterval,
           [this, index, incarnation] { readHolders(index, incarnation); });
}

void
Simulation::tickNode(std::size_t index, unsigned incarnation)
{
  if (!m_nodes[index].isAlive || m_nodes[index].incarnation != incarnation)
    return;
  const auto tick = [this, index, incarnation] {
    m_nodes[index].core->tick();
    schedule(tickInterval,
             [this, index, incarnation] { tickNode(index, incarnation); });
  };
  deliver(index, incarnation, tick, processortime::tick);
}

EntryCore::Clocks
Simulation::clocks(std::size_t node)
{
  EntryCore::Clocks clocks;
  clocks.steady = [this] { return m_now; };
  clocks.sinceBoot = [this] { return m_now.time_since_epoch(); };
  clocks.timeOfDay = [this] {
    return initialTimeOfDayMs + toMilliseconds(m_now.time_since_epoch());
  };
  clocks.processNumber = node * 100 + m_nodes[node].incarnation;
  return clocks;
}

void
Simulation::stopNode(std::size_t node)
{
  m_nodes[node].isAlive = false;
  m_nodes[node].isFrozen = false;
  m_nodes[node].deferred.clear();
  m_nodes[node].processingDelay = Ramp();
  m_nodes[node].processingUntil = {};
  resubmitJobsOf(node);
}

WorkerList
Simulation::workerList() const
{
  WorkerList all;
  for (const Worker& worker : m_workers) {
    if (worker.fake && worker.indexInZone < m_listedPerZone &&
        m_now >= worker.unlistedUntil)
      all[worker.record.id()] = worker.record;
  }
  return all;
}

} // namespace cowslippin::testing
