#include "simulation.h"
#include "simulationtimes.h"

#include <algorithm>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// Sizes on the wire, with headers.
constexpr std::size_t beatBytes = 100;
constexpr std::size_t jobBytes = 700;

std::size_t
wireBytes(const PeerMessage& message)
{
  return std::holds_alternative<PeerSubmit>(message) ? jobBytes : beatBytes;
}

} // namespace

void
Simulation::cutOff(std::size_t daemon, Duration duration)
{
  m_nodes[daemon].cutUntil = m_now + duration;
  at(silenceLimit, [this, daemon] {
    if (m_now < m_nodes[daemon].cutUntil)
      unlinkAll(daemon, Duration::zero());
  });
}

void
Simulation::cutZone(unsigned zone, Duration duration)
{
  m_zoneCutUntil[zone] = m_now + duration;
  at(silenceLimit, [this, zone] {
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
      for (std::size_t b = 0; b < m_nodes.size(); ++b) {
        if (m_nodes[a].zone == zone && m_nodes[b].zone != zone && isCut(a, b))
          unlink(a, b, Duration::zero());
      }
    }
  });
}

void
Simulation::resetLinks()
{
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    unlinkAll(node, oneWay);
}

EntryCore::Links
Simulation::links(std::size_t node)
{
  EntryCore::Links links;
  links.send = [this, node](const VmId& vm, const PeerMessage& message) {
    const auto found = m_nodeOf.find(vm);
    if (found != m_nodeOf.end()) {
      const std::size_t other = found->second;
      if (!areLinked(node, other))
        return false;
      const VmId from = m_nodes[node].id;
      const unsigned life = m_nodes[other].life;
      if (std::holds_alternative<PeerBeat>(message))
        ++m_nodes[node].beats;
      const std::size_t bytes = wireBytes(message);
      const Duration delay =
        oneWay + sendTime(node, bytes) + receiveTime(other, bytes);
      if (!isCut(node, other))
        at(delay, [this, node, other, life, from, message] {
          onNode(other, life, [this, node, other, from, message] {
            if (areLinked(node, other))
              m_nodes[other].core->received(from, message);
          });
        });
      return true;
    }
    return false;
  };
  links.sendToEach = [send = links.send](const std::vector<VmId>& vms,
                                         const PeerMessage& message) {
    for (const VmId& vm : vms)
      send(vm, message);
  };
  links.setClose = [](const VmId&, bool) {};
  links.isUp = [this, node](const VmId& vm) {
    const auto found = m_nodeOf.find(vm);
    return found != m_nodeOf.end() && areLinked(node, found->second);
  };
  links.up = [this, node] {
    std::set<VmId> up;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
      if (areLinked(node, other))
        up.insert(m_nodes[other].id);
    }
    return up;
  };
  links.knownCount = [this] { return m_nodes.size() - 1; };
  links.dropAll = [this, node] {
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
      if (!areLinked(node, other))
        continue;
      unlink(other, node, oneWay);
      m_nodes[node].core->peerDown(m_nodes[other].id, PeerLoss::Closed);
    }
  };
  links.post = [this, node, life = m_nodes[node].life](const Action& action) {
    at(Duration::zero(),
       [this, node, life, action] { onNode(node, life, action); });
  };
  return links;
}

bool
Simulation::areLinked(std::size_t a, std::size_t b) const
{
  return m_links.count(std::minmax(a, b)) > 0;
}

bool
Simulation::isCut(std::size_t a, std::size_t b) const
{
  if (m_now < m_nodes[a].cutUntil || m_now < m_nodes[b].cutUntil)
    return true;
  if (m_nodes[a].zone == m_nodes[b].zone)
    return false;
  for (const auto& [zone, until] : m_zoneCutUntil) {
    if (m_now < until && (m_nodes[a].zone == zone || m_nodes[b].zone == zone))
      return true;
  }
  return false;
}

/// Ends a connection; each side that lives is told after `noticed`.
void
Simulation::unlink(std::size_t a, std::size_t b, Duration noticed)
{
  const std::pair<std::size_t, std::size_t> key = std::minmax(a, b);
  if (m_links.count(key) == 0)
    return;
  // What is noticed at once or late was silence.
  const PeerLoss loss = noticed == oneWay ? PeerLoss::Closed : PeerLoss::Silent;
  const auto tell = [this, loss](std::size_t node, std::size_t other) {
    onNode(node, m_nodes[node].life, [this, node, other, loss] {
      m_nodes[node].core->peerDown(m_nodes[other].id, loss);
    });
  };
  if (noticed == Duration::zero()) {
    m_links.erase(key);
    tell(a, b);
    tell(b, a);
    return;
  }
  const unsigned lifeA = m_nodes[a].life;
  const unsigned lifeB = m_nodes[b].life;
  at(noticed, [this, a, b, lifeA, lifeB, key, tell] {
    if (m_links.erase(key) == 0)
      return;
    if (m_nodes[a].life == lifeA)
      tell(a, b);
    if (m_nodes[b].life == lifeB)
      tell(b, a);
  });
}

void
Simulation::unlinkAll(std::size_t node, Duration noticed)
{
  for (std::size_t other = 0; other < m_nodes.size(); ++other) {
    if (other != node)
      unlink(node, other, noticed);
  }
}

void
Simulation::connectDaemons()
{
  for (std::size_t a = 0; a < m_nodes.size(); ++a) {
    for (std::size_t b = a + 1; b < m_nodes.size(); ++b) {
      const bool canLink = m_nodes[a].isAlive && m_nodes[b].isAlive &&
                           !m_nodes[a].isFrozen && !m_nodes[b].isFrozen &&
                           !isCut(a, b) && !areLinked(a, b);
      if (!canLink)
        continue;
      m_links.emplace(a, b);
      const auto tell = [this](std::size_t node, std::size_t other) {
        PeerHello hello;
        hello.vm = m_nodes[other].id;
        hello.zone = ZoneName("z" + std::to_string(m_nodes[other].zone));
        m_nodes[node].core->peerUp(hello);
      };
      tell(a, b);
      tell(b, a);
    }
  }
  at(reconnectInterval, [this] { connectDaemons(); });
}

Duration
Simulation::transit(TimePoint& busyUntil, std::size_t bytes) const
{
  if (m_settings.linkMegabits == 0)
    return Duration::zero();
  const double microseconds = double(bytes) * 8 / m_settings.linkMegabits;
  busyUntil = std::max(busyUntil, m_now) + Duration(std::int64_t(microseconds));
  return busyUntil - m_now;
}

Duration
Simulation::sendTime(std::size_t node, std::size_t bytes)
{
  return transit(m_nodes[node].sendsUntil, bytes);
}

Duration
Simulation::receiveTime(std::size_t node, std::size_t bytes)
{
  return transit(m_nodes[node].receivesUntil, bytes);
}

} // namespace cowslippin::testing
