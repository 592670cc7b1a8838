#include "entrydaemon.h"

#include "libobserve/observe.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <random>
#include <utility>

namespace cowslippin {

namespace {

Incarnation
makeIncarnation()
{
  std::random_device device;
  return Incarnation(std::to_string(device()) + std::to_string(device()));
}

PeerHello
makeHello(const EntryDaemon::Settings& settings)
{
  PeerHello hello;
  hello.vm = settings.core.vm;
  hello.zone = settings.core.zone;
  hello.address = settings.peerAddress;
  hello.incarnation = makeIncarnation();
  return hello;
}

std::chrono::nanoseconds
sinceBoot()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::int64_t
timeOfDay()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// The time that a fixed benchmark, encoding and decoding some messages, takes
/// on this machine. It is given as a base-2 logarithm, because machines differ
/// by factors.
int
measureSlowness()
{
  constexpr int rounds = 3;
  /// Enough that the time is a few hundred times the clock's resolution.
  constexpr int messages = 70;
  constexpr std::size_t specBytes = 500;
  PeerSubmit sample;
  sample.request.spec = std::string(specBytes, 'x');
  Duration best = std::chrono::seconds(1);
  for (int round = 0; round < rounds; ++round) {
    const TimePoint start = steadyNow();
    for (int i = 0; i < messages; ++i) {
      const auto bytes = encodePeerMessage(sample);
      decodePeerMessage(std::string(bytes.begin(), bytes.end()));
    }
    best = std::min(best, steadyNow() - start);
  }
  return static_cast<int>(std::lround(std::log2(double(best.count()) + 1)));
}

EntryDaemon::Settings
withSlowness(EntryDaemon::Settings settings)
{
  settings.core.slowness = measureSlowness();
  logEvent(LogLevel::Info,
           "machine-measured",
           { { "slowness", settings.core.slowness } });
  return settings;
}

EntryCore::Clocks
machineClocks()
{
  return { steadyNow, sinceBoot, timeOfDay, std::random_device{}() };
}

} // namespace

EntryDaemon::EntryDaemon(boost::asio::io_context& context,
                         Settings settings,
                         EntryCore::Ports ports,
                         std::function<void(TimePoint)> ticked)
  : m_context(context)
  , m_settings(withSlowness(std::move(settings)))
  , m_ticked(std::move(ticked))
  , m_links(context, makeHello(m_settings), m_settings.links, linkHooks())
  , m_core(m_settings.core, std::move(ports), linkFunctions(), machineClocks())
  , m_timer(context)
{
}

std::optional<Problem>
EntryDaemon::start()
{
  if (auto problem = m_links.listen())
    return problem;
  for (const Address& seed : m_settings.seeds)
    m_links.addAddress(seed, steadyNow());
  scheduleTick();
  return std::nullopt;
}

void
EntryDaemon::peerAddressRead(const Address& address)
{
  m_links.addAddress(address, m_core.observeTime());
}

void
EntryDaemon::leave(std::function<void()> ended)
{
  m_core.leave([this, ended = std::move(ended)] {
    m_links.close();
    ended();
  });
}

EntryCore::Links
EntryDaemon::linkFunctions()
{
  EntryCore::Links links;
  links.send = [this](const VmId& vm, const PeerMessage& message) {
    return m_links.send(vm, message);
  };
  links.sendToEach = [this](const std::vector<VmId>& vms,
                            const PeerMessage& message) {
    m_links.sendToEach(vms, message);
  };
  links.setSharesJobs = [this](const VmId& vm, bool isClose) {
    m_links.setSharesJobs(vm, isClose, steadyNow());
  };
  links.isConnected = [this](const VmId& vm) {
    return m_links.isConnected(vm);
  };
  links.connectedPeers = [this] { return m_links.connectedPeers(); };
  links.knownPeerCount = [this] { return m_links.knownPeerCount(); };
  links.closeAll = [this] { m_links.closeAll(steadyNow()); };
  links.probeMissing = [this] {
    m_links.probeMissing([this] { m_core.peerReached(); });
  };
  links.connectMissing = [this] { m_links.connectMissing(steadyNow()); };
  links.post = [this](std::function<void()> function) {
    boost::asio::post(m_context, std::move(function));
  };
  return links;
}

PeerConnections::Hooks
EntryDaemon::linkHooks()
{
  PeerConnections::Hooks hooks;
  hooks.connected = [this](const PeerHello& hello) { m_core.peerUp(hello); };
  hooks.disconnected = [this](const VmId& vm, PeerLoss loss) {
    m_core.peerDown(vm, loss);
  };
  hooks.received = [this](const VmId& vm, const PeerMessage& message) {
    m_core.received(vm, message);
  };
  return hooks;
}

void
EntryDaemon::scheduleTick()
{
  m_timer.expires_after(m_settings.core.cpuStarvation.tickInterval);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    const TimePoint now = m_core.observeTime();
    runGuarded("tick of the program", [&] { m_ticked(now); });
    runGuarded("tick of the connections", [&] { m_links.tick(now); });
    runGuarded("tick of the core", [&] { m_core.tick(); });
    scheduleTick();
  });
}

} // namespace cowslippin
