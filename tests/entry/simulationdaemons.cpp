#include "simulation.h"
#include "simulationtimes.h"

#include <algorithm>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// How long after its start a daemon has read the store, and how often it does
/// so later.
constexpr Duration storeRead = milliseconds(15);
constexpr Duration watchfulReads = milliseconds(900);
constexpr Duration laterReads = milliseconds(2000);
constexpr const char* configuration = "1";

} // namespace

void
Simulation::readList(std::size_t node)
{
  onNode(node, m_nodes[node].life, [this, node] {
    m_nodes[node].core->workersRead(list());
  });
}

/// Each daemon reads the list of workers at a time of its own.
void
Simulation::readListsLater()
{
  const auto lag = static_cast<std::size_t>(toMilliseconds(m_settings.listLag));
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    at(milliseconds(below(lag)), [this, node] { readList(node); });
}

void
Simulation::readEvacuations(std::size_t node)
{
  if (node < m_settings.uninformedDaemons)
    return;
  onNode(node, m_nodes[node].life, [this, node] {
    m_nodes[node].core->evacuationsRead(m_evacuations);
  });
}

void
Simulation::onNode(std::size_t index, unsigned life, const Action& action)
{
  if (!isBehind(index)) {
    handle(index, life, action);
    return;
  }
  Node& node = m_nodes[index];
  node.handlesUntil = std::max(node.handlesUntil, m_now + node.lag.at(m_now));
  at(node.handlesUntil - m_now,
     [this, index, life, action] { handle(index, life, action); });
}

void
Simulation::handle(std::size_t index, unsigned life, const Action& action)
{
  Node& node = m_nodes[index];
  if (!node.isAlive || node.life != life)
    return;
  if (node.isFrozen)
    node.waiting.push_back(
      [this, index, life, action] { handle(index, life, action); });
  else
    action();
}

bool
Simulation::isBehind(std::size_t index) const
{
  const Node& node = m_nodes[index];
  return node.handlesUntil >= m_now || node.lag.at(m_now) > Duration::zero();
}

void
Simulation::runBehind(std::size_t daemon, const Ramp::Shape& lag)
{
  m_nodes[daemon].lag = Ramp(lag, m_now);
}

void
Simulation::startNode(std::size_t index)
{
  Node& node = m_nodes[index];
  if (node.isAlive)
    return;
  ++node.life;
  node.isAlive = true;
  node.isFrozen = false;
  node.waiting.clear();
  node.knownBeats.clear();
  EntryCore::Settings settings;
  settings.vm = node.id;
  settings.zone = ZoneName("z" + std::to_string(node.zone));
  if (m_settings.isLinkKnown)
    settings.limits.megabitsPerSecond = m_settings.linkMegabits;
  node.core = std::make_unique<EntryCore>(
    settings, ports(index), links(index), clocks(index));
  readEvacuations(index);
  node.core->configurationRead(configuration);
  node.core->workersRead(list());
  at(storeRead, [this, index, life = node.life] { readHolders(index, life); });
  tickNode(index, node.life);
}

/// At the start, and as often as the daemon asks for it, it reads who holds
/// what at the platform.
void
Simulation::readHolders(std::size_t index, unsigned life)
{
  if (!m_nodes[index].isAlive || m_nodes[index].life != life)
    return;
  onNode(index, life, [this, index] {
    Node& node = m_nodes[index];
    FencingToken highest = 0;
    for (const auto& [shard, published] : m_published) {
      highest = std::max(highest, published.token);
      node.core->lastHolderRead(shard, published.holder);
      unsigned& known = node.knownBeats[shard];
      if (known != 0 && known != published.beats)
        node.core->holderRead(shard, published.holder);
      known = published.beats;
    }
    node.core->holdersRead(highest);
  });
  const bool isWatchful = m_nodes[index].core->needsHolderReads();
  at(isWatchful ? watchfulReads : laterReads,
     [this, index, life] { readHolders(index, life); });
}

void
Simulation::tickNode(std::size_t index, unsigned life)
{
  if (!m_nodes[index].isAlive || m_nodes[index].life != life)
    return;
  onNode(index, life, [this, index, life] {
    m_nodes[index].core->tick();
    at(tickInterval, [this, index, life] { tickNode(index, life); });
  });
}

EntryCore::Clocks
Simulation::clocks(std::size_t node)
{
  EntryCore::Clocks clocks;
  clocks.steady = [this] { return m_now; };
  clocks.sinceBoot = [this] { return m_now.time_since_epoch(); };
  clocks.timeOfDay = [this] {
    return firstTimeOfDayMs + toMilliseconds(m_now.time_since_epoch());
  };
  clocks.processNumber = node * 100 + m_nodes[node].life;
  return clocks;
}

void
Simulation::stopNode(std::size_t node)
{
  m_nodes[node].isAlive = false;
  m_nodes[node].isFrozen = false;
  m_nodes[node].waiting.clear();
  m_nodes[node].lag = Ramp();
  m_nodes[node].handlesUntil = {};
  callerBroken(node);
}

WorkerList
Simulation::list() const
{
  WorkerList all;
  for (const Worker& worker : m_workers) {
    if (worker.fake && worker.position < m_listedPerZone &&
        m_now >= worker.unlistedUntil)
      all[worker.record.id()] = worker.record;
  }
  return all;
}

} // namespace cowslippin::testing
