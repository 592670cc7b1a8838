#include "peerconnections.h"

#include "peercodec.h"

#include "libcore/loopturn.h"
#include "libobserve/observe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslippin {

namespace {

constexpr std::size_t maxBufferedBytes = std::size_t(8) << 20;
/// More daemons than any group has. Bounds what addresses that other daemons
/// send can take.
constexpr std::size_t maxKnownAddresses = 4096;
/// How much later the daemon with the higher address dials.
constexpr Duration secondDialDelay = std::chrono::milliseconds(400);
/// How long a duplicate connection stays open: longer than `PeerHello` messages
/// are in transit, also between machines that have just started.
constexpr Duration retireDelay = std::chrono::milliseconds(1000);
/// A daemon that started less than this ago dials everyone, because the others
/// may be waiting before they retry its address.
constexpr Duration startupTime = std::chrono::milliseconds(1000);
/// A connection that was dialled less than this ago isn't dialled again: its
/// first packet was hardly lost.
constexpr Duration redialDelay = std::chrono::milliseconds(100);

WebSocketTransport::Settings
transportSettings(const PeerConnections::Settings& settings)
{
  WebSocketTransport::Settings transport;
  transport.maxMessageBytes = maxPeerMessageBytes;
  transport.maxBufferedBytes = maxBufferedBytes;
  transport.handshakeTimeout = settings.connectTimeout;
  transport.maxUnidentified = settings.maxUnidentified;
  transport.maxAccepted = settings.maxAccepted;
  return transport;
}

} // namespace

PeerConnections::PeerConnections(boost::asio::io_context& context,
                                 PeerHello self,
                                 Settings settings,
                                 Hooks hooks)
  : m_self(std::move(self))
  , m_settings(std::move(settings))
  , m_hooks(std::move(hooks))
  , m_context(context)
  , m_transport(context, transportSettings(m_settings), transportHooks())
  , m_startedAt(steadyNow())
  , m_probe(context)
{
}

std::optional<Problem>
PeerConnections::listen()
{
  const std::string& host = m_settings.listenHost.empty()
                              ? m_self.address.host()
                              : m_settings.listenHost;
  const Result<Address> address =
    m_transport.listen(Address(host, m_self.address.port()));
  if (!address)
    return address.error();
  return std::nullopt;
}

void
PeerConnections::addAddress(const Address& address, TimePoint now)
{
  if (address == m_self.address)
    return;
  if (m_peers.size() >= maxKnownAddresses && m_peers.count(address) == 0) {
    logEvent(
      LogLevel::Warning,
      "peer-address-refused",
      { { "address", address.toString() }, { "known", m_peers.size() } });
    return;
  }
  const auto [found, isNew] = m_peers.try_emplace(address);
  if (!isNew)
    return;
  found->second.lastUp = now;
  found->second.nextDialAt = now;
  if (address < m_self.address && now - m_startedAt > startupTime)
    found->second.nextDialAt = now + secondDialDelay;
}

bool
PeerConnections::send(const VmId& vm, const PeerMessage& message)
{
  const auto address = m_addresses.find(vm);
  if (address == m_addresses.end())
    return false;
  const Peer& peer = m_peers.at(address->second);
  return peer.link && write(*peer.link, message);
}

void
PeerConnections::sendToEach(const std::vector<VmId>& vms,
                            const PeerMessage& message)
{
  if (vms.empty())
    return;
  const auto bytes = encodePeerMessage(message);
  if (!mayBeSent(bytes, message))
    return;
  for (const VmId& vm : vms) {
    const auto address = m_addresses.find(vm);
    if (address == m_addresses.end())
      continue;
    const Peer& peer = m_peers.at(address->second);
    if (peer.link)
      m_transport.send(*peer.link, bytes);
  }
}

void
PeerConnections::setSharesJobs(const VmId& vm, bool isClose, TimePoint now)
{
  if (Link* link = linkTo(vm))
    link->silence.setSharesJobs(isClose, now);
}

/// Returns null if there is no connection.
PeerConnections::Link*
PeerConnections::linkTo(const VmId& vm)
{
  const auto address = m_addresses.find(vm);
  if (address == m_addresses.end())
    return nullptr;
  const Peer& peer = m_peers.at(address->second);
  return peer.link ? &m_links.at(*peer.link) : nullptr;
}

bool
PeerConnections::isConnected(const VmId& vm) const
{
  const auto address = m_addresses.find(vm);
  return address != m_addresses.end() &&
         m_peers.at(address->second).link.has_value();
}

std::set<VmId>
PeerConnections::connectedPeers() const
{
  std::set<VmId> all;
  for (const auto& [vm, address] : m_addresses) {
    if (m_peers.at(address).link)
      all.insert(all.end(), vm);
  }
  return all;
}

void
PeerConnections::closeAll(TimePoint now)
{
  for (auto& [address, peer] : m_peers) {
    if (peer.dialled) {
      m_transport.drop(*peer.dialled);
      m_links.erase(*peer.dialled);
      peer.dialled.reset();
    }
    if (peer.link)
      lost(peer, PeerLoss::Closed, now);
    peer.nextDialAt = now;
    peer.backoff = Duration::zero();
  }
}

void
PeerConnections::probeMissing(const std::function<void()>& reached)
{
  std::vector<Address> missing;
  for (const auto& [address, peer] : m_peers) {
    if (!peer.link)
      missing.push_back(address);
  }
  m_probe.start(missing, reached);
}

void
PeerConnections::connectMissing(TimePoint now)
{
  for (auto& [address, peer] : m_peers) {
    if (peer.link)
      continue;
    if (peer.dialled && now - peer.dialledAt > redialDelay) {
      m_transport.drop(*peer.dialled);
      m_links.erase(*peer.dialled);
      peer.dialled.reset();
    }
    peer.nextDialAt = now;
    peer.backoff = Duration::zero();
  }
  dialDuePeers(now);
}

void
PeerConnections::tick(TimePoint now)
{
  dropRetired(now);
  dropNameless(now);
  std::vector<Address> forgotten;
  for (auto& [address, peer] : m_peers) {
    if (peer.link) {
      peer.lastUp = now;
      if (m_links.at(*peer.link).silence.isSilent(m_settings.silence, now))
        giveUpAfterLoopTurn(*peer.link);
      continue;
    }
    if (peer.dialled) {
      if (now - peer.dialledAt > m_settings.connectTimeout)
        giveUpAfterLoopTurn(*peer.dialled);
    } else if (now - peer.lastUp > m_settings.unreachableRemovalDelay) {
      forgotten.push_back(address);
    }
  }
  for (const Address& address : forgotten) {
    forgetVm(address);
    m_peers.erase(address);
  }
  dialDuePeers(now);
}

/// Gives a silent connection, or one that takes too long to be established, up
/// after a complete turn of the event loop, unless something is read from it in
/// that turn. With a loop that is late this extends the silence by one turn. No
/// run lasts longer by that: a lease is bounded by the sending time of the last
/// acknowledged heartbeat (`Scheduler::runWantedUntil`), and nothing is started
/// for a submitter whose contact is older than 490 ms, whether or not its
/// silence has been noticed.
void
PeerConnections::giveUpAfterLoopTurn(LinkId link)
{
  if (!m_overdue.insert(link).second)
    return;
  runAfterLoopTurn(m_context.get_executor(),
                   [this,
                    alive = std::weak_ptr(m_alive),
                    link,
                    receivedAt = m_links.at(link).silence.lastReceivedAt()] {
                     if (!alive.expired())
                       giveUpIfUnread(link, receivedAt);
                   });
}

void
PeerConnections::giveUpIfUnread(LinkId link, TimePoint lastReceivedAt)
{
  m_overdue.erase(link);
  const auto found = m_links.find(link);
  if (found == m_links.end() ||
      found->second.silence.lastReceivedAt() != lastReceivedAt)
    return;
  const TimePoint now = steadyNow();
  for (auto& [address, peer] : m_peers) {
    if (peer.link == link) {
      lost(peer, PeerLoss::Silent, now);
      return;
    }
    if (peer.dialled == link) {
      dialFailed(peer, now);
      return;
    }
  }
}

/// Dials due peers, starting with the addresses after this daemon's own, so
/// that not all daemons dial the same ones first.
void
PeerConnections::dialDuePeers(TimePoint now)
{
  auto dialling = static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [](const auto& item) {
      return item.second.dialled.has_value();
    }));
  const auto dialRange = [&](auto first, auto last) {
    for (auto item = first; item != last; ++item) {
      auto& [address, peer] = *item;
      const bool isDue = !peer.link && !peer.dialled && now >= peer.nextDialAt;
      if (!isDue || dialling >= m_settings.maxConcurrentDials)
        continue;
      dial(address, peer, now);
      ++dialling;
    }
  };
  const auto own = m_peers.upper_bound(m_self.address);
  dialRange(own, m_peers.end());
  dialRange(m_peers.begin(), own);
}

void
PeerConnections::close()
{
  m_transport.closeAll();
}

WebSocketTransport::Hooks
PeerConnections::transportHooks()
{
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [this](LinkId link) { accepted(link); };
  // An exception that passed through the transport would end its reading from
  // this connection.
  hooks.received = [this](LinkId link, const std::string& bytes) {
    runGuarded("peer message", [&] { received(link, bytes); });
  };
  hooks.closed = [this](LinkId link, LinkEnd) { closed(link); };
  return hooks;
}

void
PeerConnections::accepted(LinkId link)
{
  const TimePoint now = steadyNow();
  m_links[link] = { std::nullopt, SilenceDetector(now), false, now };
  write(link, hello());
}

void
PeerConnections::received(LinkId link, const std::string& bytes)
{
  const auto found = m_links.find(link);
  if (found == m_links.end())
    return;
  found->second.silence.messageReceived(steadyNow());
  const Result<PeerMessage> message = decodePeerMessage(bytes);
  if (!message) {
    logEvent(LogLevel::Warning,
             "peer-message-refused",
             { { "reason", message.error().detail() } });
    return;
  }
  if (const auto* hello = std::get_if<PeerHello>(&*message)) {
    if (isAcceptable(found->second, *hello))
      helloReceived(link, *hello);
    return;
  }
  if (!found->second.peer)
    return;
  if (const auto* news = std::get_if<PeerAddresses>(&*message)) {
    for (const Address& address : news->addresses)
      addAddress(address, steadyNow());
    return;
  }
  const auto peer = m_peers.find(*found->second.peer);
  if (peer == m_peers.end() || isRetiredSubmit(peer->second, link, *message))
    return;
  if (const auto* beat = std::get_if<PeerHeartbeat>(&*message))
    found->second.silence.setNextHeartbeatWithin(beat->nextHeartbeatWithin);
  m_hooks.received(peer->second.vm, *message);
}

/// Whether a job was received over a retired connection. The sender takes such
/// a job for lost with the connection and would not cancel it here.
bool
PeerConnections::isRetiredSubmit(const Peer& peer,
                                 LinkId link,
                                 const PeerMessage& message) const
{
  const auto* submit = std::get_if<PeerSubmit>(&message);
  if (submit == nullptr || peer.link == link)
    return false;
  logDecision(LogLevel::Info,
              "job-on-retired-connection",
              { { "peer", peer.vm }, { "job", submit->request.key.job() } });
  return true;
}

void
PeerConnections::closed(LinkId link)
{
  m_links.erase(link);
  const TimePoint now = steadyNow();
  for (auto& [address, peer] : m_peers) {
    if (peer.link == link) {
      lost(peer, PeerLoss::Closed, now);
      return;
    }
    if (peer.dialled == link) {
      peer.dialled.reset();
      dialFailed(peer, now);
      return;
    }
  }
}

/// Whether a connection may continue with this `PeerHello`. A second one on the
/// same connection would make it the connection of two daemons.
bool
PeerConnections::isAcceptable(const Link& link, const PeerHello& hello) const
{
  const bool isAcceptable =
    !link.peer && !hello.vm.isEmpty() && hello.vm != m_self.vm;
  if (!isAcceptable)
    logEvent(LogLevel::Warning,
             "peer-hello-refused",
             { { "peer", hello.vm },
               { "address", hello.address.toString() },
               { "isRepeated", link.peer.has_value() } });
  return isAcceptable;
}

/// Removes the VM of an address, unless it is known at another address by now.
void
PeerConnections::forgetVm(const Address& address)
{
  const auto vm = m_addresses.find(m_peers.at(address).vm);
  if (vm != m_addresses.end() && vm->second == address)
    m_addresses.erase(vm);
}

void
PeerConnections::helloReceived(LinkId link, const PeerHello& hello)
{
  const TimePoint now = steadyNow();
  addAddress(hello.address, now);
  const auto found = m_peers.find(hello.address);
  if (found == m_peers.end())
    return;
  Peer& peer = found->second;
  const bool wasDialled = peer.dialled == link;
  if (wasDialled) {
    peer.dialled.reset();
    write(link, this->hello());
  }
  const bool haveBothDialled = peer.link &&
                               peer.incarnation == hello.incarnation &&
                               isDialledByOtherSide(peer, link);
  m_links[link].peer = hello.address;
  m_transport.identified(link);
  if (haveBothDialled && !isPreferred(link, hello.address)) {
    retire(link, now);
    return;
  }
  // Messages in transit on the other connection may arrive after those that
  // follow on this one, which matters only if the two daemons share jobs.
  if (haveBothDialled && !m_links.at(*peer.link).silence.sharesJobs())
    retire(*peer.link, now);
  else if (peer.link)
    lost(peer, PeerLoss::Closed, now);
  peer.link = link;
  peer.backoff = Duration::zero();
  if (peer.vm != hello.vm)
    forgetVm(hello.address);
  peer.vm = hello.vm;
  peer.incarnation = hello.incarnation;
  m_addresses[hello.vm] = hello.address;
  for (const Address& address : hello.knownAddresses)
    addAddress(address, now);
  logDecision(LogLevel::Info,
              "peer-up",
              { { "peer", hello.vm },
                { "zone", hello.zone },
                { "incarnation", hello.incarnation } });
  sendUnknownAddresses(link, hello);
  m_hooks.connected(hello);
}

/// Sends the addresses that the other daemon doesn't know. It connects to them
/// by itself: telling all others of each daemon that starts would take as many
/// messages as there are pairs of daemons.
void
PeerConnections::sendUnknownAddresses(LinkId link, const PeerHello& hello)
{
  std::set<Address> known(hello.knownAddresses.begin(),
                          hello.knownAddresses.end());
  known.insert(hello.address);
  PeerAddresses news;
  for (const auto& [address, peer] : m_peers) {
    if (known.count(address) == 0)
      news.addresses.push_back(address);
  }
  if (!news.addresses.empty())
    write(link, news);
}

/// Whether this connection and the current one were dialled by different sides.
/// A second connection from the same side means that this side has given up the
/// first.
bool
PeerConnections::isDialledByOtherSide(const Peer& peer, LinkId link) const
{
  return m_links.at(link).isDialled != m_links.at(*peer.link).isDialled;
}

/// Whether this connection is the one to keep. Two daemons may dial each other
/// at the same time; both keep the connection that the one with the lower
/// address dialled.
bool
PeerConnections::isPreferred(LinkId link, const Address& address) const
{
  return m_links.at(link).isDialled == (m_self.address < address);
}

/// Keeps a duplicate connection open for a while. The other side may not know
/// yet which connection is kept, and would take an immediate drop for a loss.
void
PeerConnections::retire(LinkId link, TimePoint now)
{
  m_retired.emplace_back(link, now + retireDelay);
}

void
PeerConnections::dropRetired(TimePoint now)
{
  while (!m_retired.empty() && now >= m_retired.front().second) {
    const LinkId link = m_retired.front().first;
    m_retired.pop_front();
    if (m_links.erase(link) > 0)
      m_transport.drop(link);
  }
}

/// Drops accepted connections whose other side hasn't said which daemon it is.
void
PeerConnections::dropNameless(TimePoint now)
{
  for (auto link = m_links.begin(); link != m_links.end();) {
    const bool isOverdue =
      !link->second.peer && !link->second.isDialled &&
      now - link->second.openedAt > m_settings.helloTimeout;
    if (isOverdue)
      m_transport.drop(link->first);
    link = isOverdue ? m_links.erase(link) : std::next(link);
  }
}

void
PeerConnections::lost(Peer& peer, PeerLoss loss, TimePoint now)
{
  const LinkId link = *peer.link;
  peer.link.reset();
  peer.nextDialAt = now;
  m_transport.drop(link);
  m_links.erase(link);
  logDecision(
    LogLevel::Info,
    "peer-down",
    { { "peer", peer.vm }, { "wasSilent", loss == PeerLoss::Silent } });
  m_hooks.disconnected(peer.vm, loss);
}

void
PeerConnections::dial(const Address& address, Peer& peer, TimePoint now)
{
  const LinkId link = m_transport.dial(address);
  m_links[link] = { std::nullopt, SilenceDetector(now), true, now };
  peer.dialled = link;
  peer.dialledAt = now;
}

void
PeerConnections::dialFailed(Peer& peer, TimePoint now)
{
  if (peer.dialled) {
    m_transport.drop(*peer.dialled);
    m_links.erase(*peer.dialled);
    peer.dialled.reset();
  }
  peer.backoff = std::clamp(
    peer.backoff * 2, m_settings.reconnectMin, m_settings.reconnectMax);
  peer.nextDialAt = now + peer.backoff;
}

/// Returns false if the message is too large to be sent.
bool
PeerConnections::write(LinkId link, const PeerMessage& message)
{
  const auto bytes = encodePeerMessage(message);
  if (!mayBeSent(bytes, message))
    return false;
  m_transport.send(link, bytes);
  return true;
}

/// Whether the receiver accepts a message of this size. It would close the
/// connection otherwise.
bool
PeerConnections::mayBeSent(const std::vector<std::uint8_t>& bytes,
                           const PeerMessage& message)
{
  if (bytes.size() <= maxPeerMessageBytes)
    return true;
  logDecision(LogLevel::Error,
              "peer-message-too-large",
              { { "kind", message.index() }, { "bytes", bytes.size() } });
  return false;
}

PeerHello
PeerConnections::hello() const
{
  PeerHello hello = m_self;
  for (const auto& [address, peer] : m_peers)
    hello.knownAddresses.push_back(address);
  return hello;
}

} // namespace cowslippin
