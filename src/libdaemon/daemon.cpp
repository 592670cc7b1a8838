#include "daemon.h"

#include "dumpsections.h"
#include "incarnations.h"
#include "peersubmission.h"

#include "libobserve/observe.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace cowslippin {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(500);
/// How often log records that have waited are written.
constexpr Duration logInterval = std::chrono::milliseconds(100);
constexpr Duration longestDeadline = std::chrono::minutes(10);
constexpr Duration drainPoll = std::chrono::milliseconds(10);
/// How long a shutdown goes on refusing at least, so that a balancer can see
/// it and calls that are on their way get an answer.
constexpr Duration shortestDrain = std::chrono::milliseconds(500);
constexpr std::size_t largestMessage = std::size_t{ 16 } << 20;

ClientIdentity
identityOf(const DaemonSettings& settings)
{
  return ClientIdentity{ settings.zone(), settings.vmId() };
}

StreamLocation
locate(const DaemonSettings& settings, StreamName stream)
{
  return { settings.platform(), identityOf(settings), std::move(stream) };
}

EndpointClient::Settings
endpointClientSettings(const DaemonSettings& settings)
{
  EndpointClient::Settings client;
  client.connectTimeout = settings.endpointConnectTimeout();
  return client;
}

DispatchSettings
dispatchSettings(const DaemonSettings& settings)
{
  DispatchSettings dispatch;
  dispatch.crossingPenalty = settings.crossingPenalty();
  dispatch.maxQueued = settings.maxQueuedTasks();
  return dispatch;
}

ConfigService::Settings
configSettings(const DaemonSettings& settings)
{
  ConfigService::Settings config;
  config.log = locate(settings, StreamName("config"));
  config.snapshotInterval = settings.configSnapshotInterval();
  return config;
}

ClaimService::Settings
claimSettings(const DaemonSettings& settings, const Incarnation& self)
{
  ClaimService::Settings claims;
  claims.log =
    locate(settings, StreamName("claims-" + settings.region().value()));
  claims.self = self;
  claims.limits.window = settings.claimWindow();
  claims.limits.retention = settings.logRetention();
  claims.limits.maxEntries = settings.maxLiveClaims();
  claims.appendsPerSecond = settings.appendsPerSecond();
  claims.regionAppendsPerSecond = settings.regionAppendsPerSecond();
  return claims;
}

std::optional<std::vector<VmId>>
otherEntryVms(const VmList& list, const VmId& self)
{
  if (list.find(self) == nullptr) {
    return std::nullopt;
  }
  std::vector<VmId> others;
  for (const VirtualMachine& vm : list.vms()) {
    if (vm.role() == VmRole::Entry && vm.id() != self) {
      others.push_back(vm.id());
    }
  }
  return others;
}

SubmissionService::Settings
submissionSettings(const DaemonSettings& settings,
                   const Incarnation& self,
                   const Membership& membership)
{
  SubmissionService::Settings submissions;
  submissions.otherVms = [&membership, vm = settings.vmId()] {
    return otherEntryVms(*membership.current(), vm);
  };
  submissions.self = self;
  submissions.store.window = settings.claimWindow();
  return submissions;
}

Membership::Settings
membershipSettings(const DaemonSettings& settings)
{
  Membership::Settings membership;
  membership.platform = settings.platform();
  membership.identity = identityOf(settings);
  membership.interval = settings.vmListInterval();
  return membership;
}

} // namespace

Daemon::Daemon(DaemonSettings settings)
  : m_settings(std::move(settings))
  , m_incarnation(makeIncarnation(m_settings.vmId()))
  , m_regionAppender(m_settings.vmId())
  , m_endpointClient(endpointClientSettings(m_settings))
  , m_runner(dispatchSettings(m_settings),
             m_settings.zone(),
             std::random_device()(),
             m_endpointClient,
             m_metrics)
  , m_ownerCalls([this](const VmId& vm, const Message& message) {
    return send(vm, message);
  })
  , m_remoteOwner(m_ownerCalls,
                  [this](const Incarnation& incarnation) {
                    return m_directory.isGone(incarnation, steadyNow());
                  })
  , m_config(configSettings(m_settings),
             [this](const Configuration& configuration) {
               configChanged(configuration);
             })
  , m_configExchange(m_config,
                     [this](const VmId& vm, const Message& message) {
                       return send(vm, message);
                     })
  , m_claims(
      claimSettings(m_settings, m_incarnation),
      [this](const std::vector<ClaimEvent>& events) {
        m_submissions.claimsEnded(events);
      },
      [this](const std::string& batch) { return handOverClaims(batch); },
      m_metrics)
  , m_submissions(submissionSettings(m_settings, m_incarnation, m_membership),
                  m_claims,
                  m_runner,
                  m_remoteOwner,
                  m_metrics)
  , m_membership(membershipSettings(m_settings),
                 [this](const VmList& list) { listChanged(list); })
  , m_workers(std::make_shared<const WorkerSizes>())
  , m_callerApi(m_config,
                m_submissions,
                m_workers,
                std::min(longestDeadline, m_settings.claimWindow() / 2))
  , m_operatorApi(
      m_config,
      m_membership,
      m_dump,
      m_metrics,
      { [this] { return m_peers->status(); }, [this] { return notReady(); } })
{
  m_directory.heard(m_settings.vmId(), m_incarnation);
  m_callerApi.addRoutes(m_router);
  m_operatorApi.addRoutes(m_router);
  addDumpSections();
  addGauges();
}

Daemon::~Daemon()
{
  stop();
}

std::optional<Problem>
Daemon::start()
{
  Hello::Fields self;
  self.vm = m_settings.vmId();
  self.incarnation = m_incarnation;
  self.zone = m_settings.zone();
  PeerNetwork::Settings network;
  network.listen = m_settings.peerListen();
  network.self = Hello(self);
  network.heartbeatInterval = m_settings.heartbeatInterval();
  network.silenceLimit = m_settings.peerSilence();
  network.maxMessageBytes = largestMessage;
  network.seed = std::random_device()();
  m_peers = std::make_unique<PeerNetwork>(network, peerHooks());
  const auto peerAddress = m_peers->start();
  if (!peerAddress) {
    return peerAddress.error();
  }
  m_peerAddress = *peerAddress;
  m_config.start();
  m_claims.start();
  m_membership.start();
  HttpServer::Settings server;
  server.listen = m_settings.httpListen();
  server.maxThreads = m_settings.maxHttpThreads();
  server.maxBodyBytes = m_settings.maxBodyBytes();
  server.stopGrace = m_settings.drainGrace();
  server.handlerThrew = [](const std::string& what) {
    logEvent(LogLevel::Error, "handler-threw", { { "detail", what } });
  };
  try {
    m_server =
      std::make_unique<HttpServer>(server, [this](const HttpRequest& request) {
        return m_router.reply(request);
      });
  } catch (const std::exception& error) {
    return Problem::invalidField("http-listen",
                                 m_settings.httpListen().toString(),
                                 "an address that can be listened on: " +
                                   std::string(error.what()));
  }
  m_ticks = std::thread([this] { runTicks(); });
  logEvent(LogLevel::Info,
           "daemon-started",
           { { "vm", m_settings.vmId() },
             { "zone", m_settings.zone() },
             { "incarnation", m_incarnation },
             { "http", httpAddress().toString() },
             { "peers", m_peerAddress.toString() } });
  return std::nullopt;
}

Address
Daemon::httpAddress() const
{
  return m_server->address();
}

bool
Daemon::drain()
{
  logEvent(LogLevel::Info,
           "drain-started",
           { { "live", m_submissions.live() },
             { "unfetched", m_submissions.unfetched() } });
  m_submissions.startDraining();
  const TimePoint begin = steadyNow();
  const TimePoint until = begin + m_settings.drainGrace();
  const TimePoint earliest = std::min(until, begin + shortestDrain);
  while ((!isIdle() || steadyNow() < earliest) && steadyNow() < until) {
    std::this_thread::sleep_for(drainPoll);
  }
  const bool complete = isIdle();
  logEvent(complete ? LogLevel::Info : LogLevel::Warning,
           "drain-ended",
           { { "live", m_submissions.live() },
             { "unfetched", m_submissions.unfetched() } });
  stop();
  return complete;
}

bool
Daemon::isIdle() const
{
  // Calls in flight are waited for by the server's own end; counted here, they
  // would keep a daemon that callers go on trying from ever ending.
  return m_submissions.live() == 0 && m_submissions.unfetched() == 0;
}

void
Daemon::stop()
{
  {
    const std::lock_guard lock(m_tickMutex);
    m_stopping = true;
    m_stopTicks.notify_all();
  }
  if (m_ticks.joinable()) {
    m_ticks.join();
  }
  if (m_server) {
    m_server->stop();
  }
  m_endpointClient.stop();
  m_runner.stop();
  m_membership.stop();
  m_claims.stop();
  m_config.stop();
  if (m_peers) {
    m_peers->stop();
  }
}

std::string
Daemon::notReady() const
{
  if (m_submissions.isDraining()) {
    return "draining";
  }
  if (!m_config.isLoaded()) {
    return "no configuration has been read yet";
  }
  if (m_claims.stats().inDoubt) {
    return "records of the claim stream were lost unread";
  }
  const auto list = m_membership.current();
  const VirtualMachine* self = list->find(m_settings.vmId());
  if (self == nullptr) {
    return "this VM is not on the VM list";
  }
  return self->isLeaving() ? "this VM is leaving" : "";
}

void
Daemon::runTicks()
{
  std::unique_lock lock(m_tickMutex);
  TimePoint nextTick = steadyNow();
  while (!m_stopping) {
    lock.unlock();
    if (steadyNow() >= nextTick) {
      runGuarded("tick of the daemon", [this] { tick(); });
      nextTick = steadyNow() + tickInterval;
    }
    writeDueLogRecords();
    lock.lock();
    m_stopTicks.wait_for(lock, logInterval, [this] { return m_stopping; });
  }
}

void
Daemon::tick()
{
  m_submissions.expire();
  m_peers->setLoad(static_cast<std::uint32_t>(m_runner.load()));
  updateRegionDuty();
}

void
Daemon::updateRegionDuty()
{
  VmId lowest = m_settings.vmId();
  for (const PeerStatus& peer : m_peers->status()) {
    if (peer.connected() && peer.vm() < lowest) {
      lowest = peer.vm();
    }
  }
  const bool hasDuty = lowest == m_settings.vmId();
  m_config.setSnapshotDuty(hasDuty);
  m_claims.setRegionDuty(hasDuty);
  const std::lock_guard lock(m_dutyMutex);
  m_regionAppender = lowest;
}

bool
Daemon::handOverClaims(const std::string& batch)
{
  VmId appender;
  {
    const std::lock_guard lock(m_dutyMutex);
    appender = m_regionAppender;
  }
  return appender != m_settings.vmId() &&
         send(appender, ClaimAppend({ batch }));
}

void
Daemon::configChanged(const Configuration& configuration)
{
  if (m_peers) {
    m_peers->setConfigOffset(configuration.offset());
  }
  Offset highest = m_toldRevision;
  for (const auto& organisation : configuration.organisations()) {
    if (organisation->revision() > m_toldRevision) {
      m_runner.setOrganisation(*organisation);
      highest = std::max(highest, organisation->revision());
    }
  }
  m_toldRevision = highest;
}

void
Daemon::listChanged(const VmList& list)
{
  m_directory.listed(list);
  m_peers->setPeers(list.vms());
  m_workers.set(std::make_shared<const WorkerSizes>(list));
  // A list from before this VM came may lack endpoints as well.
  m_wasListed = m_wasListed || list.find(m_settings.vmId()) != nullptr;
  if (m_wasListed) {
    m_runner.setVms(list, m_settings.vmId());
  }
  logEvent(LogLevel::Info,
           "vm-list-changed",
           { { "version", list.version() },
             { "vms", list.vms().size() },
             { "endpoints", list.endpoints().size() } });
}

void
Daemon::peerUp(const VmId& vm, const Hello& hello)
{
  m_directory.heard(vm, hello.incarnation());
  m_configExchange.peerHas(vm, hello.configOffset());
  updateRegionDuty();
  logEvent(LogLevel::Info,
           "peer-up",
           { { "peer", vm }, { "incarnation", hello.incarnation() } });
}

void
Daemon::messageReceived(const VmId& vm, const Message& message)
{
  if (const auto offset = configOffsetOf(message)) {
    m_configExchange.peerHas(vm, *offset);
  } else if (const auto* call = std::get_if<OwnerCall>(&message)) {
    ownerCalled(vm, *call);
  } else if (const auto* append = std::get_if<ClaimAppend>(&message)) {
    m_claims.appendFor(append->batch());
  } else if (const auto* submit = std::get_if<SubmitCall>(&message)) {
    submitCalled(vm, *submit);
  } else if (const auto* reply = std::get_if<OwnerReply>(&message)) {
    m_ownerCalls.replied(vm, *reply);
  } else if (const auto* request = std::get_if<ConfigRequest>(&message)) {
    m_configExchange.requested(vm, *request);
  } else if (const auto* transfer = std::get_if<ConfigTransfer>(&message)) {
    m_configExchange.transferred(*transfer);
  }
}

void
Daemon::ownerCalled(const VmId& vm, const OwnerCall& call)
{
  m_submissions.ownerCalled(
    m_directory.incarnationOn(vm), call, [this, vm](const OwnerReply& reply) {
      send(vm, reply);
    });
}

void
Daemon::submitCalled(const VmId& vm, const SubmitCall& call)
{
  const auto reply = [this, vm](const OwnerReply& message) {
    send(vm, message);
  };
  const auto request = requestFromPeer(call, *m_config.current(), steadyNow());
  if (!request) {
    reply(ownerReplyOf(call.requestId(), problemReply(request.error())));
    return;
  }
  m_submissions.submitCalled(
    *request, call.waitsForEnd(), call.requestId(), reply);
}

bool
Daemon::send(const VmId& vm, const Message& message)
{
  return m_peers && m_peers->send(vm, message);
}

PeerNetwork::Hooks
Daemon::peerHooks()
{
  PeerNetwork::Hooks hooks;
  hooks.peerUp = [this](const VmId& vm, const Hello& hello) {
    peerUp(vm, hello);
  };
  hooks.peerDown = [this](const VmId& vm) {
    m_ownerCalls.connectionLost(vm);
    updateRegionDuty();
    logEvent(LogLevel::Warning, "peer-down", { { "peer", vm } });
  };
  hooks.reconnected = [this](const VmId& vm) {
    m_ownerCalls.connectionLost(vm);
  };
  hooks.refused = [](const VmId& vm, const Problem& problem) {
    logEvent(LogLevel::Warning,
             "peer-message-refused",
             { { "peer", vm }, { "detail", problem.detail() } });
  };
  hooks.received = [this](const VmId& vm, const Message& message) {
    messageReceived(vm, message);
  };
  return hooks;
}

void
Daemon::addDumpSections()
{
  m_dump.addSection("daemon", [this] {
    return daemonSection(m_settings, m_incarnation, notReady());
  });
  m_dump.addSection("config",
                    [this] { return m_config.current()->published(); });
  m_dump.addSection("claims",
                    [this] { return claimsSection(m_claims.stats()); });
  m_dump.addSection("dispatch",
                    [this] { return dispatchSection(m_runner.stats()); });
  m_dump.addSection("peers",
                    [this] { return peersSection(m_peers->status()); });
  m_dump.addSection("submissions", [this] {
    return submissionsSection(m_submissions, m_ownerCalls.pending());
  });
  m_dump.addSection("metrics", [this] { return m_metrics.toJson(); });
}

void
Daemon::addGauges()
{
  m_metrics.addGauge("tasksHeld",
                     [this] { return static_cast<double>(m_runner.load()); });
  m_metrics.addGauge("submissionsLive", [this] {
    return static_cast<double>(m_submissions.live());
  });
  m_metrics.addGauge("answerBytes", [this] {
    return static_cast<double>(m_submissions.store().answerBytes());
  });
}

} // namespace cowslippin
