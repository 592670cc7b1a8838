#include "simulation.h"
#include "simulationtimes.h"

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

} // namespace

Simulation::Simulation(Settings settings, std::uint64_t seed)
  : m_settings(settings)
  , m_random(seed)
  , m_listedPerZone(settings.workersPerZone)
  , m_jobsPerSecond(settings.jobsPerSecond)
{
  for (unsigned zone = 0; zone < m_settings.zones; ++zone) {
    for (unsigned i = 0; i < m_settings.daemonsPerZone; ++i) {
      Node node;
      node.zone = zone;
      node.id = VmId("vm-" + std::to_string(zone) + "-" + std::to_string(i));
      m_nodeOf[node.id] = m_nodes.size();
      m_nodes.push_back(std::move(node));
    }
    for (unsigned i = 0; i < m_settings.workersPerZone; ++i) {
      Worker worker;
      worker.zone = zone;
      worker.indexInZone = i;
      m_workers.push_back(std::move(worker));
      crashWorker(m_workers.size() - 1);
    }
  }
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    startNode(node);
  connectDaemons();
  tickWorkers();
  scheduleNextSubmission();
}

Simulation::~Simulation() = default;

void
Simulation::runFor(Duration duration)
{
  const TimePoint end = m_now + duration;
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

void
Simulation::kill(std::size_t daemon, Duration downtime)
{
  if (!m_nodes[daemon].isAlive)
    return;
  disconnectAll(daemon, oneWayDelay);
  stopNode(daemon);
  schedule(downtime, [this, daemon] { startNode(daemon); });
}

void
Simulation::powerOff(std::size_t daemon, Duration downtime)
{
  if (!m_nodes[daemon].isAlive)
    return;
  disconnectAll(daemon, silenceLimit);
  stopNode(daemon);
  schedule(downtime, [this, daemon] { startNode(daemon); });
}

void
Simulation::freeze(std::size_t daemon, Duration duration)
{
  Node& node = m_nodes[daemon];
  if (!node.isAlive || node.isFrozen)
    return;
  node.isFrozen = true;
  schedule(silenceLimit, [this, daemon, incarnation = node.incarnation] {
    if (m_nodes[daemon].isFrozen && m_nodes[daemon].incarnation == incarnation)
      disconnectAll(daemon, Duration::zero());
  });
  schedule(duration, [this, daemon, incarnation = node.incarnation] {
    Node& resumed = m_nodes[daemon];
    if (!resumed.isAlive || resumed.incarnation != incarnation)
      return;
    resumed.isFrozen = false;
    for (const Action& action : std::exchange(resumed.deferred, {}))
      action();
  });
}

void
Simulation::leave(std::size_t daemon)
{
  Node& node = m_nodes[daemon];
  if (!node.isAlive || node.isFrozen)
    return;
  node.core->leave([this, daemon] {
    // The process ends only after the call that has reported the end of the
    // shutdown.
    schedule(Duration(1), [this, daemon] {
      if (!m_nodes[daemon].isAlive)
        return;
      disconnectAll(daemon, oneWayDelay);
      stopNode(daemon);
      schedule(milliseconds(300), [this, daemon] { startNode(daemon); });
    });
  });
}

void
Simulation::evacuate(unsigned zone)
{
  m_evacuations.zones.emplace("z" + std::to_string(zone));
  m_evacuatedSince.emplace(zone, m_now);
  evacuationsChanged();
}

void
Simulation::reopen(unsigned zone)
{
  m_evacuations.zones.erase(ZoneName("z" + std::to_string(zone)));
  m_evacuatedSince.erase(zone);
  evacuationsChanged();
}

void
Simulation::evacuationsChanged()
{
  ++m_evacuations.logPosition;
  const auto maxDelayMs =
    static_cast<std::size_t>(toMilliseconds(m_settings.maxReadDelay));
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    schedule(milliseconds(randomBelow(maxDelayMs)),
             [this, node] { readEvacuations(node); });
}

void
Simulation::killAll(Duration downtime)
{
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    kill(node, downtime);
}

void
Simulation::schedule(Duration delay, Action action)
{
  m_events.push({ m_now + delay, ++m_lastSequence, std::move(action) });
}

void
Simulation::recordViolation(const std::string& what)
{
  const auto ms =
    std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
  m_violations.push_back(std::to_string(ms) + " ms: " + what);
}

} // namespace cowslippin::testing
