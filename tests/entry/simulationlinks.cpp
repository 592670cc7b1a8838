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
Simulation::loseUnevenly(std::size_t daemon, Duration duration, Duration lag)
{
  m_nodes[daemon].cutUntil = m_now + duration;
  for (std::size_t other = 0; other < m_nodes.size(); ++other) {
    if (other == daemon)
      continue;
    const auto lose = [this, daemon](const End& end, ConnectionNumber number) {
      if (m_now < m_nodes[daemon].cutUntil)
        loseEnd(end, number, PeerLoss::Silent);
    };
    const End far{ other, daemon };
    const End near{ daemon, other };
    const ConnectionNumber number = connection(daemon, other);
    at(silenceLimit, [lose, far, number] { lose(far, number); });
    at(silenceLimit + lag, [lose, near, number] { lose(near, number); });
  }
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
      const ConnectionNumber number = connection(node, other);
      if (std::holds_alternative<PeerBeat>(message))
        ++m_nodes[node].beats;
      ++m_nodes[node].sent[message.index()];
      const std::size_t bytes = wireBytes(message);
      const Duration delay =
        oneWay + sendTime(node, bytes) + receiveTime(other, bytes);
      if (!isCut(node, other))
        at(delay, [this, node, other, life, number, from, message] {
          onNode(other, life, [this, node, other, number, from, message] {
            if (connection(other, node) == number)
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
      if (isBehind(node))
        m_ends.erase({ node, other });
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
Simulation::areLinked(std::size_t node, std::size_t other) const
{
  return connection(node, other) != 0;
}

Simulation::ConnectionNumber
Simulation::connection(std::size_t node, std::size_t other) const
{
  const auto found = m_ends.find({ node, other });
  return found == m_ends.end() ? 0 : found->second;
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
  // What is noticed at once or late was silence.
  const PeerLoss loss = noticed == oneWay ? PeerLoss::Closed : PeerLoss::Silent;
  const ConnectionNumber ofA = connection(a, b);
  const ConnectionNumber ofB = connection(b, a);
  const auto lose = [this, a, b, ofA, ofB, loss] {
    loseEnd({ a, b }, ofA, loss);
    loseEnd({ b, a }, ofB, loss);
  };
  if (noticed == Duration::zero())
    lose();
  else
    at(noticed, lose);
}

/// The daemon notices that the connection of this number is lost, if it has not
/// yet. One that is behind goes by it until then.
void
Simulation::loseEnd(const End& end, ConnectionNumber number, PeerLoss loss)
{
  if (number == 0 || connection(end.first, end.second) != number)
    return;
  const bool isAtOnce = !isBehind(end.first);
  if (isAtOnce)
    m_ends.erase(end);
  const auto notice = [this, end, number, loss, isAtOnce] {
    const auto [node, other] = end;
    if (!isAtOnce && connection(node, other) != number)
      return;
    if (!isAtOnce)
      m_ends.erase(end);
    m_nodes[node].core->peerDown(m_nodes[other].id, loss);
  };
  onNode(end.first, m_nodes[end.first].life, notice);
}

void
Simulation::loseEnd(const End& end, PeerLoss loss)
{
  loseEnd(end, connection(end.first, end.second), loss);
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
                           !isCut(a, b) && !isConnecting(a, b);
      if (!canLink)
        continue;
      if (!areLinked(a, b) && !areLinked(b, a))
        connect(a, b);
      else
        closeHalfOpen(a, b);
    }
  }
  at(reconnectInterval, [this] { connectDaemons(); });
}

void
Simulation::connect(std::size_t a, std::size_t b)
{
  m_connecting[{ a, b }] = { m_nodes[a].life, m_nodes[b].life };
  const ConnectionNumber number = ++m_lastConnection;
  onNode(a, m_nodes[a].life, [this, a, b, number] {
    openEnd({ a, b }, number);
    onNode(b, m_nodes[b].life, [this, a, b, number] {
      m_connecting.erase({ a, b });
      openEnd({ b, a }, number);
    });
  });
}

void
Simulation::openEnd(const End& end, ConnectionNumber number)
{
  const auto [node, other] = end;
  m_ends[end] = number;
  PeerHello hello;
  hello.vm = m_nodes[other].id;
  hello.zone = ZoneName("z" + std::to_string(m_nodes[other].zone));
  m_nodes[node].core->peerUp(hello);
}

/// Whether two daemons have begun to connect and neither has ended since.
bool
Simulation::isConnecting(std::size_t a, std::size_t b) const
{
  const auto found = m_connecting.find({ a, b });
  return found != m_connecting.end() &&
         found->second == std::pair(m_nodes[a].life, m_nodes[b].life);
}

/// Over a connection that only one side knows, what it sends is answered with a
/// reset.
void
Simulation::closeHalfOpen(std::size_t a, std::size_t b)
{
  if (!areLinked(b, a))
    loseEnd({ a, b }, PeerLoss::Closed);
  if (!areLinked(a, b))
    loseEnd({ b, a }, PeerLoss::Closed);
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
