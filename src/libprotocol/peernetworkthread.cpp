#include "peernetworkthread.h"

#include "codec.h"

#include "libobserve/observe.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

namespace asio = boost::asio;

/// How often in each of its durations the table of peers looks at the clock.
constexpr int ticksPerDuration = 8;
constexpr Duration shortestTick = std::chrono::milliseconds(1);

/// Bounds the closing handshakes at the end.
constexpr Duration closeLimit = std::chrono::milliseconds(500);
constexpr Duration closeCheckInterval = std::chrono::milliseconds(2);

Duration
tickInterval(const PeerNetwork::Settings& settings)
{
  const Duration shortest = std::min({ settings.heartbeatInterval,
                                       settings.silenceLimit,
                                       settings.connectTimeout });
  return std::max(shortest / ticksPerDuration, shortestTick);
}

WebSocketTransport::Settings
transportSettings(const PeerNetwork::Settings& settings)
{
  WebSocketTransport::Settings result;
  result.maxMessageBytes = settings.maxMessageBytes;
  result.maxBufferedBytes = settings.maxBufferedBytes;
  result.handshakeTimeout = settings.connectTimeout;
  return result;
}

} // namespace

PeerNetworkThread::PeerNetworkThread(PeerNetwork::Settings settings,
                                     PeerNetwork::Hooks hooks)
  : m_settings(std::move(settings))
  , m_tickInterval(tickInterval(m_settings))
  , m_configOffset(m_settings.self.configOffset())
  , m_routes(std::make_shared<Routes>())
  , m_statuses(std::make_shared<Statuses>())
  , m_timer(m_context)
  , m_transport(m_context, transportSettings(m_settings), transportHooks())
  , m_table(m_settings, std::move(hooks), tableActions())
{
}

PeerNetworkThread::~PeerNetworkThread()
{
  stop();
}

Result<Address>
PeerNetworkThread::start()
{
  Result<Address> address = m_transport.listen(m_settings.listen);
  if (!address)
    return address;
  tickLater();
  m_thread = std::thread([this] { runEventLoop(m_context); });
  return address;
}

void
PeerNetworkThread::setPeers(const std::vector<VirtualMachine>& vms)
{
  asio::post(m_context, [this, vms] {
    if (m_isStopping)
      return;
    m_table.setPeers(vms, steadyNow());
    publishStatus();
  });
}

bool
PeerNetworkThread::send(const VmId& vm, const Message& message)
{
  const auto routes = std::atomic_load(&m_routes);
  const auto route = routes->find(vm);
  if (route == routes->end())
    return false;
  std::vector<std::uint8_t> bytes = encode(message);
  const std::size_t size = bytes.size();
  if (size > m_settings.maxMessageBytes)
    return false;
  if (m_handedOver.fetch_add(size) + size > m_settings.maxBufferedBytes) {
    m_handedOver -= size;
    return false;
  }
  const LinkId link = route->second;
  asio::post(m_context, [this, link, bytes = std::move(bytes)] {
    m_handedOver -= bytes.size();
    m_transport.send(link, bytes);
  });
  return true;
}

std::vector<PeerStatus>
PeerNetworkThread::status() const
{
  return *std::atomic_load(&m_statuses);
}

void
PeerNetworkThread::stop()
{
  if (!m_thread.joinable())
    return;
  asio::post(m_context, [this] { closeDown(); });
  m_thread.join();
  std::atomic_store(&m_routes, std::make_shared<const Routes>());
}

PeerTable::Actions
PeerNetworkThread::tableActions()
{
  PeerTable::Actions actions;
  actions.dial = [this](const Address& address) {
    return m_transport.dial(address);
  };
  actions.send = [this](LinkId link, const Message& message) {
    m_transport.send(link, encode(message));
  };
  actions.drop = [this](LinkId link) { m_transport.drop(link); };
  actions.close = [this](LinkId link) { m_transport.close(link); };
  actions.route = [this](const VmId& vm, std::optional<LinkId> link) {
    setRoute(vm, link);
  };
  actions.self = [this] { return self(); };
  actions.heartbeat = [this](std::uint64_t sequence) {
    return heartbeat(sequence);
  };
  return actions;
}

WebSocketTransport::Hooks
PeerNetworkThread::transportHooks()
{
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [this](LinkId link) { m_table.accepted(link, steadyNow()); };
  hooks.received = [this](LinkId link, const std::string& bytes) {
    runGuarded("peer message", [&] { received(link, bytes); });
  };
  hooks.closed = [this](LinkId link, LinkEnd end) {
    if (!m_isStopping)
      m_table.closed(link, end, steadyNow());
  };
  return hooks;
}

void
PeerNetworkThread::setRoute(const VmId& vm, std::optional<LinkId> link)
{
  auto routes = std::make_shared<Routes>(*std::atomic_load(&m_routes));
  if (link) {
    (*routes)[vm] = *link;
    m_transport.identified(*link);
  } else {
    routes->erase(vm);
  }
  std::atomic_store(&m_routes, std::shared_ptr<const Routes>(routes));
}

void
PeerNetworkThread::received(LinkId link, const std::string& bytes)
{
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  m_table.received(link, decode(data, bytes.size()), steadyNow());
}

Hello
PeerNetworkThread::self() const
{
  const Hello& self = m_settings.self;
  return Hello({ self.vm(), self.incarnation(), self.zone(), m_configOffset });
}

Heartbeat
PeerNetworkThread::heartbeat(std::uint64_t sequence) const
{
  return Heartbeat({ sequence, m_configOffset, m_load });
}

void
PeerNetworkThread::publishStatus()
{
  auto statuses = std::make_shared<const Statuses>(m_table.status());
  std::atomic_store(&m_statuses, std::move(statuses));
}

void
PeerNetworkThread::tickLater()
{
  m_timer.expires_after(m_tickInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_isStopping)
      tick();
  });
}

void
PeerNetworkThread::tick()
{
  runGuarded("tick of the peers", [this] { m_table.tick(steadyNow()); });
  publishStatus();
  tickLater();
}

void
PeerNetworkThread::closeDown()
{
  m_isStopping = true;
  m_transport.closeAll();
  awaitClosed(steadyNow() + closeLimit);
}

void
PeerNetworkThread::awaitClosed(TimePoint limit)
{
  if (m_transport.isIdle() || steadyNow() >= limit) {
    m_context.stop();
    return;
  }
  m_timer.expires_after(closeCheckInterval);
  m_timer.async_wait([this, limit](const auto&) { awaitClosed(limit); });
}

} // namespace cowslippin
