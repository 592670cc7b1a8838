#include "peertable.h"

#include <set>
#include <utility>

namespace cowslippin {

namespace {

template<class Key, class Value>
std::vector<Key>
keysOf(const std::map<Key, Value>& map)
{
  std::vector<Key> keys;
  keys.reserve(map.size());
  for (const auto& entry : map)
    keys.push_back(entry.first);
  return keys;
}

} // namespace

PeerTable::PeerTable(PeerNetwork::Settings settings,
                     PeerNetwork::Hooks hooks,
                     Actions actions)
  : m_settings(std::move(settings))
  , m_hooks(std::move(hooks))
  , m_actions(std::move(actions))
  , m_backoff(m_settings.reconnectMin, m_settings.reconnectMax, m_settings.seed)
{
}

void
PeerTable::setPeers(const std::vector<VirtualMachine>& vms, TimePoint now)
{
  std::set<VmId> listed;
  for (const VirtualMachine& vm : vms) {
    if (vm.role() != VmRole::Entry || isSelf(vm.id()))
      continue;
    listed.insert(vm.id());
    setAddress(vm.id(), vm.peerAddress(), now);
  }
  for (const VmId& vm : keysOf(m_peers)) {
    const bool wasListed = m_peers[vm].address.has_value();
    if (wasListed && listed.count(vm) == 0)
      removePeer(vm);
  }
}

void
PeerTable::accepted(LinkId link, TimePoint now)
{
  Link accepted;
  accepted.startedAt = now;
  accepted.lastHeard = now;
  m_links.emplace(link, accepted);
  m_actions.send(link, m_actions.self());
}

void
PeerTable::received(LinkId link, const Result<Message>& message, TimePoint now)
{
  const auto found = m_links.find(link);
  if (found == m_links.end())
    return;
  found->second.lastHeard = now;
  if (!isLive(link, found->second)) {
    receivedFirst(link, message, now);
    return;
  }
  m_peers[found->second.vm].lastHeard = now;
  if (message)
    receivedLater(link, *message, now);
  else
    refuse(found->second.vm, message.error());
}

void
PeerTable::closed(LinkId link, LinkEnd end, TimePoint now)
{
  ended(link, end, now);
}

void
PeerTable::tick(TimePoint now)
{
  forgiveOwnPause(now);
  for (const LinkId id : keysOf(m_links))
    checkLink(id, now);
  for (const VmId& vm : keysOf(m_peers))
    checkPeer(vm, now);
}

std::vector<PeerStatus>
PeerTable::status() const
{
  std::vector<PeerStatus> all;
  all.reserve(m_peers.size());
  for (const auto& [vm, peer] : m_peers) {
    PeerStatus::Fields fields;
    fields.vm = vm;
    fields.address = peer.address.value_or(Address());
    if (peer.hello) {
      fields.incarnation = peer.hello->incarnation();
      fields.zone = peer.hello->zone();
    }
    fields.connected = peer.live.has_value();
    fields.reportedUp = peer.isReportedUp;
    fields.configOffset = peer.configOffset;
    fields.load = peer.load;
    fields.lastHeard = peer.lastHeard;
    fields.roundTrip = peer.roundTrip;
    all.emplace_back(std::move(fields));
  }
  return all;
}

bool
PeerTable::isSelf(const VmId& vm) const
{
  return vm == m_settings.self.vm();
}

bool
PeerTable::isDialledByUs(const VmId& vm, const Peer& peer) const
{
  return peer.address && m_settings.self.vm() < vm;
}

/// Whether the peer at the other end has named itself.
bool
PeerTable::isLive(LinkId id, const Link& link) const
{
  const auto peer = m_peers.find(link.vm);
  return peer != m_peers.end() && peer->second.live == id;
}

void
PeerTable::setAddress(const VmId& vm, const Address& address, TimePoint now)
{
  Peer& peer = m_peers[vm];
  if (peer.address == address)
    return;
  const bool hasMoved = peer.address.has_value();
  peer.address = address;
  if (!isDialledByUs(vm, peer))
    return;
  peer.failures = 0;
  peer.nextDial = now;
  if (!hasMoved) {
    dialIfDue(vm, peer, now);
    return;
  }
  if (const auto attempt = std::exchange(peer.dialling, std::nullopt)) {
    m_links.erase(*attempt);
    m_actions.drop(*attempt);
  }
  dial(vm, peer, now);
}

void
PeerTable::removePeer(const VmId& vm)
{
  Peer& peer = m_peers[vm];
  if (peer.dialling) {
    m_links.erase(*peer.dialling);
    m_actions.drop(*peer.dialling);
  }
  if (peer.live) {
    m_links.erase(*peer.live);
    m_actions.close(*peer.live);
    unroute(vm, peer);
  }
  peer.address.reset();
  reportDown(vm);
  m_peers.erase(vm);
}

void
PeerTable::dial(const VmId& vm, Peer& peer, TimePoint now)
{
  const LinkId id = m_actions.dial(*peer.address);
  Link link;
  link.isDialled = true;
  link.vm = vm;
  link.startedAt = now;
  link.lastHeard = now;
  m_links.emplace(id, link);
  peer.dialling = id;
}

void
PeerTable::dialIfDue(const VmId& vm, Peer& peer, TimePoint now)
{
  if (peer.live || peer.dialling || now < peer.nextDial)
    return;
  if (isDialledByUs(vm, peer))
    dial(vm, peer, now);
}

/// When this process didn't run for long, the silence may be its own: what the
/// peers sent meanwhile has yet to be read.
void
PeerTable::forgiveOwnPause(TimePoint now)
{
  const bool wasPaused =
    m_lastTick && now - *m_lastTick >= m_settings.silenceLimit / 2;
  m_lastTick = now;
  if (!wasPaused)
    return;
  for (auto& entry : m_links)
    entry.second.lastHeard = now;
}

void
PeerTable::checkLink(LinkId id, TimePoint now)
{
  const auto found = m_links.find(id);
  if (found == m_links.end())
    return;
  Link& link = found->second;
  if (!isLive(id, link)) {
    if (now - link.startedAt >= m_settings.connectTimeout)
      fail(id, now);
    return;
  }
  if (now - link.lastHeard >= m_settings.silenceLimit) {
    fail(id, now);
    return;
  }
  if (!link.isDialled || now < link.nextHeartbeat)
    return;
  link.nextHeartbeat = now + m_settings.heartbeatInterval;
  link.heartbeatSentAt = now;
  ++link.sequence;
  m_actions.send(id, m_actions.heartbeat(link.sequence));
}

void
PeerTable::checkPeer(const VmId& vm, TimePoint now)
{
  const auto found = m_peers.find(vm);
  if (found == m_peers.end())
    return;
  Peer& peer = found->second;
  dialIfDue(vm, peer, now);
  if (peer.downAt && now >= *peer.downAt)
    reportDown(vm);
}

void
PeerTable::receivedFirst(LinkId id,
                         const Result<Message>& message,
                         TimePoint now)
{
  const Link& link = m_links.at(id);
  if (!message) {
    refuse(link.vm, message.error());
    fail(id, now);
    return;
  }
  const auto* hello = std::get_if<Hello>(&*message);
  const bool isExpected = hello && !isSelf(hello->vm()) &&
                          (!link.isDialled || hello->vm() == link.vm);
  if (!isExpected) {
    const std::string name = hello ? hello->vm().value() : "another message";
    const std::string allowed =
      link.isDialled ? link.vm.value() : "a Hello of another VM";
    refuse(link.vm, Problem::invalidField("vm", name, allowed));
    fail(id, now);
    return;
  }
  adopt(id, *hello, now);
}

void
PeerTable::adopt(LinkId id, const Hello& hello, TimePoint now)
{
  const VmId& vm = hello.vm();
  Link& link = m_links.at(id);
  link.vm = vm;
  link.nextHeartbeat = now;
  if (link.isDialled)
    m_actions.send(id, m_actions.self());
  Peer& peer = m_peers[vm];
  if (peer.dialling == id)
    peer.dialling.reset();
  if (const auto older = std::exchange(peer.live, id)) {
    m_links.erase(*older);
    m_actions.drop(*older);
  }
  const bool isNews = !peer.isReportedUp || !peer.hello ||
                      peer.hello->incarnation() != hello.incarnation();
  peer.hello = hello;
  peer.downAt.reset();
  peer.isReportedUp = true;
  peer.configOffset = hello.configOffset();
  peer.lastHeard = now;
  m_actions.route(vm, id);
  if (isNews && m_hooks.peerUp)
    m_hooks.peerUp(vm, hello);
  if (!isNews && m_hooks.reconnected)
    m_hooks.reconnected(vm);
}

void
PeerTable::receivedLater(LinkId id, const Message& message, TimePoint now)
{
  const Link& link = m_links.at(id);
  Peer& peer = m_peers[link.vm];
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    answerHeartbeat(id, *heartbeat);
    peer.load = heartbeat->load();
  } else if (const auto* reply = std::get_if<HeartbeatReply>(&message)) {
    heartbeatAnswered(link, *reply, now);
    peer.load = reply->load();
  } else if (std::holds_alternative<Hello>(message)) {
    refuse(link.vm,
           Problem::invalidField("type", "Hello", "one Hello a connection"));
    return;
  }
  peer.configOffset = configOffsetOf(message).value_or(peer.configOffset);
  if (m_hooks.received)
    m_hooks.received(link.vm, message);
}

void
PeerTable::answerHeartbeat(LinkId id, const Heartbeat& heartbeat)
{
  const Heartbeat own = m_actions.heartbeat(heartbeat.sequence());
  m_actions.send(
    id, HeartbeatReply({ own.sequence(), own.configOffset(), own.load() }));
}

void
PeerTable::heartbeatAnswered(const Link& link,
                             const HeartbeatReply& reply,
                             TimePoint now)
{
  Peer& peer = m_peers[link.vm];
  peer.failures = 0;
  if (reply.sequence() == link.sequence)
    peer.roundTrip = now - link.heartbeatSentAt;
}

/// Gives up a connection from this side.
void
PeerTable::fail(LinkId id, TimePoint now)
{
  m_actions.drop(id);
  ended(id, LinkEnd::Lost, now);
}

void
PeerTable::ended(LinkId id, LinkEnd end, TimePoint now)
{
  const auto found = m_links.find(id);
  if (found == m_links.end())
    return;
  const VmId vm = found->second.vm;
  m_links.erase(found);
  const auto peer = m_peers.find(vm);
  if (peer == m_peers.end())
    return;
  if (peer->second.dialling == id)
    dialFailed(vm, now);
  else if (peer->second.live == id)
    liveLost(vm, end, now);
}

void
PeerTable::dialFailed(const VmId& vm, TimePoint now)
{
  Peer& peer = m_peers[vm];
  peer.dialling.reset();
  ++peer.failures;
  peer.nextDial = now + m_backoff.next(peer.failures);
  if (!peer.live)
    reportDown(vm);
}

/// The dialling side tries one new connection at once, unless the last ones
/// failed before a heartbeat was answered; the accepting side waits for one.
void
PeerTable::liveLost(const VmId& vm, LinkEnd end, TimePoint now)
{
  Peer& peer = m_peers[vm];
  unroute(vm, peer);
  const bool mayComeBack = end == LinkEnd::Lost;
  if (!isDialledByUs(vm, peer)) {
    peer.downAt = mayComeBack ? now + m_settings.connectTimeout : now;
    checkPeer(vm, now);
    return;
  }
  ++peer.failures;
  if (mayComeBack && peer.failures == 1) {
    peer.nextDial = now;
    dialIfDue(vm, peer, now);
    return;
  }
  peer.nextDial = now + m_backoff.next(peer.failures);
  reportDown(vm);
}

void
PeerTable::unroute(const VmId& vm, Peer& peer)
{
  peer.live.reset();
  m_actions.route(vm, std::nullopt);
}

/// Peers that the VM list doesn't name are forgotten with it.
void
PeerTable::reportDown(const VmId& vm)
{
  Peer& peer = m_peers[vm];
  peer.downAt.reset();
  const bool wasUp = std::exchange(peer.isReportedUp, false);
  if (!peer.address)
    m_peers.erase(vm);
  if (wasUp && m_hooks.peerDown)
    m_hooks.peerDown(vm);
}

void
PeerTable::refuse(const VmId& vm, const Problem& problem)
{
  if (m_hooks.refused)
    m_hooks.refused(vm, problem);
}

} // namespace cowslippin
