#include "entrycore.h"

#include "libobserve/observe.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// Minimum time between two messages to other holders about free slots.
constexpr Duration slotsUpdateInterval = std::chrono::milliseconds(30);
/// The same per holder that receives the message, so that the cost for a daemon
/// doesn't grow with the group.
constexpr Duration slotsUpdateIntervalPerHolder = std::chrono::milliseconds(10);
/// Free slots are advertised early when their number has changed by at least
/// one part in this many.
constexpr unsigned minSlotsChangeDivisor = 4;
/// How long before the platform kills this process it exits by itself.
constexpr Duration exitMargin = std::chrono::milliseconds(400);
/// How long jobs that were advertised to the peers go on in the smaller part of
/// a partitioned group. This daemon detects within the silence limit of 450 ms
/// that a peer is gone, and that peer may have stopped receiving from this
/// daemon 450 ms before that. These 340 ms are what is left of
/// `maxRunAfterContact`.
constexpr Duration partitionedJobLimit = std::chrono::milliseconds(340);
/// When neither callers nor the platform's load balancer, which checks every
/// second, have sent anything for longer, requests may have been held up.
constexpr Duration callerSilenceLimit = std::chrono::milliseconds(1200);
/// How long requests that were held up are read after such a silence.
constexpr Duration heldUpTime = std::chrono::milliseconds(500);
/// How often to check whether all peers have advertised their jobs.
constexpr Duration peerReportPollInterval = std::chrono::milliseconds(10);
/// Submissions to holders and rounds of registrations are numbered. Each
/// process of a daemon begins at a multiple of 2^20 that its process number
/// selects, so that a peer's message about a number of an earlier process
/// doesn't match a recent one of this process. With 32 bits of the process
/// number all numbers stay below 2^53, which any JSON parser of the logs reads
/// exactly.
constexpr std::uint64_t numbersPerProcess = std::uint64_t(1) << 20;
constexpr std::uint64_t maxProcessNumbers = std::uint64_t(1) << 32;

/// The number before the first one that a process uses.
std::uint64_t
numberBeforeFirst(std::uint64_t processNumber)
{
  return processNumber % maxProcessNumbers * numbersPerProcess;
}

ConfigurationSync::Settings
configurationSettings(const EntryCore::Settings& settings)
{
  ConfigurationSync::Settings configuration;
  configuration.fetch.self = settings.vm;
  configuration.fetch.zone = settings.zone;
  return configuration;
}

} // namespace

EntryCore::EntryCore(Settings settings, Ports ports, Links links, Clocks clocks)
  : m_settings(std::move(settings))
  , m_ports(std::move(ports))
  , m_links(std::move(links))
  , m_clocks(std::move(clocks))
  , m_shards(m_settings.vm,
             m_settings.zone,
             m_settings.shards,
             m_clocks.steady())
  , m_scheduler(m_settings.vm, m_settings.scheduler, schedulerHooks())
  , m_gateway(m_settings.vm,
              m_settings.gateway,
              gatewayHooks(),
              numberBeforeFirst(m_clocks.processNumber))
  , m_registrations(m_settings.vm,
                    registrationHooks(),
                    m_clocks.steady(),
                    numberBeforeFirst(m_clocks.processNumber))
  , m_configuration(configurationSettings(m_settings), configurationHooks())
  , m_overload(inProgressCheck())
  , m_peerContact(m_clocks.steady())
  , m_partitionCheck(m_links.probeMissing)
  , m_peersReportedAt(m_clocks.steady() + m_settings.peerReportWait)
  , m_callersSeenAt(m_clocks.steady())
  , m_discoveryEndsAt(m_clocks.steady() + m_settings.discoveryTime)
  , m_holderLookup(m_settings.vm,
                   m_settings.zone,
                   { m_shards, m_scheduler, m_peerReports },
                   m_links.isConnected)
  , m_tokens(m_clocks.timeOfDay, m_clocks.processNumber)
  , m_vacancyProbe(m_settings.vacancyProbe, m_ports.hold)
  , m_directoryReaders(m_settings.vm, m_settings.zone, m_settings.slowness)
  , m_cpuStarvation(m_settings.cpuStarvation)
  , m_heartbeats(m_settings.heartbeats)
  , m_lastBootTime(m_clocks.sinceBoot())
  , m_grace(m_settings.shutdownGrace)
{
  m_shards.setSlowness(m_settings.slowness);
  m_shards.setWorkerCapacity(maxWorkersFor(m_settings.limits));
  m_shards.setTaskRate(taskRateFor(m_settings.limits));
  updateShardSizes(m_clocks.steady());
}

void
EntryCore::configurationRead(const std::string& body)
{
  m_configuration.platformRead(body, observeTime());
}

ConfigurationSync::Hooks
EntryCore::configurationHooks()
{
  ConfigurationSync::Hooks hooks;
  hooks.read = m_ports.readConfiguration;
  hooks.isArriving = m_ports.isConfigurationArriving;
  hooks.send = m_links.send;
  hooks.changed = [this] { configurationChanged(); };
  return hooks;
}

void
EntryCore::configurationChanged()
{
  m_shards.setReady(m_hasWorkers);
  m_overload.setLeastUrgentPriority(routing()->leastUrgentPriority());
  if (m_hasWorkers)
    updateWorkerList(m_clocks.steady());
}

void
EntryCore::workersRead(const WorkerList& workers)
{
  const TimePoint now = observeTime();
  m_hasWorkers = true;
  m_shards.setReady(m_configuration.version() > 0);
  m_workers = workers;
  updateWorkerList(now);
}

/// Keeps only the workers of services that a queue uses. Other entries may come
/// from another writer, and their workers must not be leased.
void
EntryCore::updateWorkerList(TimePoint now)
{
  WorkerList used;
  for (const auto& [id, record] : m_workers) {
    if (m_configuration.version() == 0 || routing()->uses(record.service()))
      used[id] = record;
  }
  m_scheduler.setWorkers(used, now);
  applyShardDivision(now);
}

/// Releases held shards that no longer exist because the workers of their zone
/// were divided anew.
void
EntryCore::applyShardDivision(TimePoint now)
{
  const std::set<ShardId> shards = m_scheduler.shards();
  m_shards.setShards(shards);
  const auto held = m_shards.heldShards();
  for (const auto& [shard, token] : held) {
    if (shards.count(shard) > 0)
      continue;
    logDecision(
      LogLevel::Info, "shard-dissolved", { { "shard", shard.toString() } });
    m_shards.shardRemoved(shard);
    m_handover.shardReleased(shard);
    m_scheduler.releaseShard(shard, now);
  }
}

void
EntryCore::forwardWorkerChanges(const PeerWorkerChanges& news)
{
  m_links.sendToEach(m_directoryReaders.followers(m_shards.members()), news);
}

void
EntryCore::evacuationsRead(const EvacuatedZones& evacuations)
{
  adoptEvacuations(evacuations, observeTime());
}

/// Sends the change to the peers at once, because an evacuated zone returns the
/// tasks that peers submit to it.
void
EntryCore::adoptEvacuations(const EvacuatedZones& evacuations, TimePoint now)
{
  if (!evacuations.isNewerThan(m_evacuations))
    return;
  const std::set<ZoneName> before = m_evacuations.zones;
  m_evacuations = evacuations;
  if (before == evacuations.zones)
    return;
  for (const ZoneName& zone : evacuations.zones) {
    if (before.count(zone) == 0)
      logDecision(LogLevel::Info,
                  "zone-evacuated",
                  { { "zone", zone }, { "asOf", evacuations.logPosition } });
  }
  for (const ZoneName& zone : before) {
    if (evacuations.zones.count(zone) == 0)
      logDecision(LogLevel::Info,
                  "zone-reopened",
                  { { "zone", zone }, { "asOf", evacuations.logPosition } });
  }
  sendHeartbeatToAll(now);
  m_scheduler.setEvacuatedZones(evacuations.zones, now);
}

void
EntryCore::holderRead(const ShardId& shard, const VmId& holder)
{
  m_shards.setPlatformHeartbeat(shard, holder, observeTime());
}

void
EntryCore::lastHolderRead(const ShardId& shard, const VmId& holder)
{
  m_shards.setLastHolder(shard, holder);
}

void
EntryCore::holdersRead(FencingToken highest)
{
  m_shards.platformHeartbeatsRead(observeTime());
  m_tokens.observe(highest);
}

bool
EntryCore::isReady() const
{
  return !isLeaving() && m_configuration.version() > 0 &&
         m_holderLookup.hasReachableHolder();
}

std::optional<DoorRefusal>
EntryCore::refuseUndecoded(const JobId& job, const QueuePolicy& policy)
{
  const TimePoint now = observeTime();
  callersSeen();
  return m_overload.refuseUndecoded(job, policy, now);
}

std::optional<DoorRefusal>
EntryCore::refuseDecoded(const JobSubmission& submission)
{
  const TimePoint now = m_clocks.steady();
  return m_overload.refuseDecoded(
    submission, now - m_peerContact.ownCallersKnownUntil(), now);
}

OverloadGuard::IsInProgress
EntryCore::inProgressCheck()
{
  return [this](const JobId& job, TimePoint now) {
    return m_gateway.isInProgress(job, now) || m_knownJobs.find(job, now);
  };
}

Gateway::CallerId
EntryCore::submit(JobSubmission submission, Gateway::AnswerCallback done)
{
  const TimePoint now = observeTime();
  callersSeen();
  if (now - m_callersBackAt >= heldUpTime)
    submission.maxAge = Duration::zero();
  submission.maxReadDelay = now - m_peerContact.ownCallersKnownUntil();
  return m_gateway.submit(std::move(submission), std::move(done), now);
}

void
EntryCore::callersSeen()
{
  const TimePoint now = m_clocks.steady();
  if (now - m_callersSeenAt > callerSilenceLimit)
    m_callersBackAt = now;
  m_callersSeenAt = now;
}

void
EntryCore::callerDisconnected(Gateway::CallerId callerId)
{
  m_gateway.callerDisconnected(callerId, observeTime());
}

void
EntryCore::leave(std::function<void()> ended)
{
  if (isLeaving())
    return;
  const TimePoint now = observeTime();
  m_shutdownStartedAt = now;
  m_onShutdownDone = std::move(ended);
  m_shards.setLeaving();
  sendHeartbeatToAll(now);
}

bool
EntryCore::acceptsCallers() const
{
  return !m_shutdownStartedAt ||
         m_clocks.steady() - *m_shutdownStartedAt < m_settings.balancerDelay;
}

std::set<ShardId>
EntryCore::heldShards() const
{
  std::set<ShardId> shards;
  for (const auto& [shard, token] : m_shards.heldShards())
    shards.insert(shard);
  return shards;
}

EntryCore::Stats
EntryCore::stats() const
{
  Stats figures;
  figures.configurationVersion = m_configuration.version();
  figures.newestConfigurationVersion = m_configuration.newestVersion();
  figures.isConfigurationRefused = m_configuration.refusal().has_value();
  figures.invalidRoutes = routing()->invalidRoutes();
  figures.callersWaiting = m_gateway.jobCount();
  figures.jobsScheduled = m_scheduler.jobCount();
  figures.tasksWaiting = m_scheduler.waitingTasks();
  figures.spareSlots = spareSlots(m_clocks.steady());
  figures.shardsHeld = m_shards.heldShards().size();
  figures.peersUp = m_links.connectedPeers().size();
  figures.evacuatedZones = m_evacuations.zones.size();
  figures.isReady = isReady();
  figures.restarts = m_scheduler.restartCounts();
  const PresumedOverRuns& presumed = m_scheduler.pool().presumedOverRuns();
  figures.presumedOver = presumed.presumedOver();
  figures.reappeared = presumed.reappeared();
  figures.loopLag = m_overload.meanLag();
  figures.admittedShare = m_overload.admittedShare();
  figures.holderShare = m_overload.holderShare();
  figures.refusals = m_overload.refusals();
  figures.taskRate = taskRateFor(m_settings.limits);
  figures.placements = m_holderLookup.placements();
  figures.shards = m_handover.counts();
  for (const auto& worker : m_scheduler.pool().snapshot()) {
    figures.leases.push_back(worker.state);
    figures.fastWorkers += worker.speed == SpeedClass::Fast ? 1 : 0;
    figures.slowWorkers += worker.speed == SpeedClass::Slow ? 1 : 0;
  }
  return figures;
}

nlohmann::json
EntryCore::stateJson() const
{
  nlohmann::json workers = nlohmann::json::array();
  for (const auto& worker : m_scheduler.pool().snapshot())
    workers.push_back({ { "id", worker.id.value() },
                        { "lease", toString(worker.state) },
                        { "runs", worker.runs },
                        { "slowness", worker.slowness },
                        { "speed", toString(worker.speed) },
                        { "failureShare", worker.failureShare } });
  nlohmann::json shards = nlohmann::json::object();
  for (const ShardId& shard : m_shards.shards()) {
    const auto holder = m_shards.holder(shard);
    shards[shard.toString()] = holder ? holder->value() : "";
  }
  nlohmann::json evacuated = nlohmann::json::array();
  for (const ZoneName& zone : m_evacuations.zones)
    evacuated.push_back(zone.value());
  nlohmann::json peers = nlohmann::json::array();
  for (const VmId& vm : m_links.connectedPeers())
    peers.push_back(vm.value());
  return { { "vm", m_settings.vm.value() },
           { "zone", m_settings.zone.value() },
           { "configurationVersion", m_configuration.version() },
           { "configurationRefusal",
             m_configuration.refusal() ? m_configuration.refusal()->detail()
                                       : "" },
           { "invalidRoutes", routing()->invalidRoutes() },
           { "isReady", isReady() },
           { "isLeaving", isLeaving() },
           { "callersWaiting", m_gateway.jobCount() },
           { "jobsScheduled", m_scheduler.jobCount() },
           { "tasksWaiting", m_scheduler.waitingTasks() },
           { "shards", std::move(shards) },
           { "evacuatedZones", std::move(evacuated) },
           { "peers", std::move(peers) },
           { "workers", std::move(workers) } };
}

Scheduler::Hooks
EntryCore::schedulerHooks()
{
  Scheduler::Hooks hooks;
  hooks.orders.hold = [this](const WorkerRecord& worker,
                             const LeaseOrder& order,
                             Duration timeout) {
    const SentLeaseOrder sent{ order.token, m_clocks.steady() };
    m_ports.hold(worker,
                 order,
                 timeout,
                 [this, id = worker.id(), sent](const auto& answer) {
                   m_scheduler.leaseOrderAnswered(
                     id, sent, answer, observeTime());
                 });
  };
  hooks.orders.start = [this](const WorkerRecord& worker,
                              const StartOrder& order,
                              Duration timeout) {
    m_overload.taskStarted(m_clocks.steady());
    m_ports.start(
      worker,
      order,
      timeout,
      [this, id = worker.id(), key = order.key](const auto& answer) {
        m_scheduler.startAnswered(id, key, answer, observeTime());
      });
  };
  hooks.orders.stop = [this](const WorkerRecord& worker,
                             const StopOrder& order,
                             Duration timeout) {
    m_ports.stop(worker,
                 order,
                 timeout,
                 [this, id = worker.id(), key = order.key](const auto& answer) {
                   m_scheduler.stopAnswered(id, key, answer, observeTime());
                 });
  };
  hooks.jobEnded = [this](const JobKey& key, const JobEnd& end) {
    jobEnded(key, end);
  };
  hooks.tasksReturned = [this](const JobKey& key,
                               const TasksReturned& returned) {
    tasksReturned(key, returned);
  };
  hooks.higherToken = [this](unsigned refusals) {
    return m_tokens.nextAfterRefusal(refusals);
  };
  hooks.unresolvedStartFound = [this](const UnresolvedStart& start) {
    m_newUnresolved.push_back(start);
  };
  hooks.workerFenced = [this](const ShardId& shard) { m_fenced.insert(shard); };
  hooks.lastContact = [this](const VmId& vm) {
    return vm == m_settings.vm ? m_peerContact.ownCallersKnownUntil()
                               : m_peerContact.lastContact(vm);
  };
  hooks.advertisedUntil = [this](const VmId& vm) {
    return vm == m_settings.vm ? TimePoint::max()
                               : m_peerContact.advertisedUntil(vm);
  };
  return hooks;
}

Gateway::Hooks
EntryCore::gatewayHooks()
{
  Gateway::Hooks hooks;
  hooks.currentHolder = [this](const ShardId& shard) {
    return m_holderLookup.currentHolder(shard, m_clocks.steady());
  };
  hooks.bestHolder = [this](const std::set<ShardId>& refusedBy,
                            std::size_t tasks) {
    return m_holderLookup.bestHolder(refusedBy, tasks, m_clocks.steady());
  };
  hooks.areAllZonesEvacuated = [this] {
    return m_holderLookup.areAllZonesEvacuated();
  };
  hooks.workersDigest = [this](const VmId& vm, const ShardId& shard) {
    return m_peerReports.workersDigest(vm, shard);
  };
  hooks.submit = [this](const VmId& vm, const JobRequest& request) {
    return submitTo(vm, request);
  };
  hooks.cancel = [this](const VmId& vm, const JobKey& key) {
    cancelAt(vm, key);
  };
  hooks.confirmAdvertised = [this](const VmId& vm, const JobKey& key) {
    confirmAdvertisedAt(vm, key);
  };
  hooks.advertisedUntil = [this] { return allAdvertisedUntil(); };
  hooks.inProgressAt = [this](const JobId& job, TimePoint readAt) {
    return inProgressAt(job, readAt);
  };
  hooks.recall = [this](const VmId& vm, const PeerRecall& recall) {
    m_links.send(vm, recall);
  };
  hooks.mayBePartitioned = [this] {
    const TimePoint now = m_clocks.steady();
    return mayBePartitioned(now) || m_losses.hasLost(now);
  };
  hooks.registerJob = [this](const JobId& job, const std::set<VmId>& endedAt) {
    return m_registrations.add(job, endedAt, m_clocks.steady());
  };
  hooks.renewRegistration = [this](const JobId& job) {
    m_registrations.renew(job, m_clocks.steady());
  };
  hooks.cancelRegistration = [this](const JobId& job) {
    m_registrations.cancel(job);
  };
  return hooks;
}

JobRegistrations::Hooks
EntryCore::registrationHooks()
{
  JobRegistrations::Hooks hooks;
  hooks.send = m_links.send;
  hooks.connectedPeers = m_links.connectedPeers;
  hooks.isInProgressHere = [this](const JobId& job) {
    return m_gateway.isInProgress(job, m_clocks.steady());
  };
  hooks.haveAllJustStarted = [this] { return m_shards.haveAllJustStarted(); };
  hooks.answered = [this](const JobId& job, const auto& inProgressAt) {
    m_gateway.registrationAnswered(job, inProgressAt, m_clocks.steady());
  };
  return hooks;
}

void
EntryCore::peerUp(const PeerHello& hello)
{
  const TimePoint now = observeTime();
  // A pause that was noticed just now has closed the connection again.
  if (!m_links.isConnected(hello.vm))
    return;
  m_lastReadAt[hello.vm] = now;
  if (m_losses.reconnected(hello.vm)) {
    m_partitionCheck.peerConnected(now);
    m_links.connectMissing();
  }
  m_peerReports.setZone(hello.vm, hello.zone);
  // The close flag is stored per connection, and one connection may replace
  // another without a reported loss.
  m_links.setSharesJobs(hello.vm, m_closePeers.count(hello.vm) > 0);
  sendHeartbeats({ hello.vm }, now);
  sendUnresolved({ hello.vm }, m_scheduler.unresolvedStarts().all(), now);
  m_registrations.peerUp(hello, m_gateway.registeredJobs(), now);
}

TimePoint
EntryCore::observeTime()
{
  const auto boot = m_clocks.sinceBoot();
  const auto gap = std::chrono::duration_cast<Duration>(boot - m_lastBootTime);
  m_lastBootTime = boot;
  const TimePoint now = m_clocks.steady();
  if (gap > m_settings.pauseLimit)
    handlePause(now, gap);
  return now;
}

void
EntryCore::peerReached()
{
  if (m_partitionCheck.peerReached(observeTime()))
    m_links.connectMissing();
}

/// The peers consider this daemon lost, and callers may have submitted their
/// jobs again elsewhere. So nothing is started before all messages that came in
/// during the pause are read.
void
EntryCore::handlePause(TimePoint now, Duration gap)
{
  logDecision(
    LogLevel::Warning, "pause-noticed", { { "gapMs", toMilliseconds(gap) } });
  m_resumeAt = now + m_settings.resumeDelay;
  // Runs of a daemon that was lost unnoticed during the pause have ended by
  // then.
  m_peersReportedAt = now + maxOrphanedRun;
  m_overload.reset();
  m_registrations.paused(now);
  m_scheduler.suspend(now);
  m_gateway.advertiseAgain(now - gap + maxRunAfterContact);
  m_links.closeAll();
}

void
EntryCore::tick()
{
  const TimePoint now = observeTime();
  if (m_resumeAt && now >= *m_resumeAt) {
    m_resumeAt.reset();
    m_scheduler.resume(now);
  }
  updateCpuStarvation(now);
  updateOverload(now);
  m_shards.setKnownMemberCount(m_links.knownPeerCount());
  probeOrphans(now);
  applyShardDecisions(now);
  m_configuration.tick(now);
  m_peerContact.tick(now);
  acknowledgeHeartbeats(now);
  m_scheduler.tick(now);
  sendNewUnresolved(now);
  m_registrations.tick(now);
  m_gateway.tick(now);
  if (now - m_lastHeartbeatAt >= m_settings.heartbeats.interval)
    sendScheduledHeartbeats(now);
  else
    advertiseFreeSlots(now);
  if (now - m_lastPlatformHeartbeatAt >= m_settings.platformHeartbeatInterval) {
    m_lastPlatformHeartbeatAt = now;
    for (const auto& [shard, token] : m_shards.heldShards())
      m_ports.publishHolder(shard, m_tokens.highest());
  }
  checkShutdown(now);
}

/// Sends a heartbeat to all peers at once.
void
EntryCore::sendHeartbeatToAll(TimePoint now)
{
  m_lastPlacesUpdateAt = now;
  m_advertisedSlots = spareSlots(now);
  const std::set<VmId> up = m_links.connectedPeers();
  sendHeartbeats({ up.begin(), up.end() }, now);
}

void
EntryCore::sendScheduledHeartbeats(TimePoint now)
{
  updateShardSizes(now);
  updateClosePeers();
  m_isDirectoryReader = m_directoryReaders.isReader(m_shards.members());
  m_lastHeartbeatAt = now;
  const auto due =
    m_heartbeats.takeDuePeers(m_links.connectedPeers(), m_closePeers, now);
  if (m_heartbeats.sendsToEachPeer()) {
    m_lastPlacesUpdateAt = now;
    m_advertisedSlots = spareSlots(now);
  }
  sendHeartbeats(due, now);
}

void
EntryCore::sendHeartbeats(const std::vector<VmId>& vms, TimePoint now)
{
  std::map<Duration, std::vector<VmId>> byNextWithin;
  for (const VmId& vm : vms) {
    const bool isClose = m_closePeers.count(vm) > 0;
    byNextWithin[m_heartbeats.scheduleNext(vm, isClose, now)].push_back(vm);
  }
  if (byNextWithin.empty())
    return;
  PeerHeartbeat beat = makeHeartbeat(now);
  for (const auto& [promise, receivers] : byNextWithin) {
    beat.nextHeartbeatWithin = promise;
    m_links.sendToEach(receivers, beat);
  }
}

/// Peers that share no jobs with this daemon any more need fewer heartbeats.
void
EntryCore::updateClosePeers()
{
  m_jobHolders = m_gateway.holders();
  std::set<VmId> close = m_jobHolders;
  close.merge(m_scheduler.submitters());
  close.erase(m_settings.vm);
  for (const VmId& vm : m_closePeers) {
    if (close.count(vm) == 0)
      m_links.setSharesJobs(vm, false);
  }
  for (const VmId& vm : close)
    m_links.setSharesJobs(vm, true);
  m_closePeers = std::move(close);
}

void
EntryCore::addClosePeer(const VmId& vm)
{
  m_closePeers.insert(vm);
  m_links.setSharesJobs(vm, true);
}

/// Sends a heartbeat to the other holders early when the number of free slots
/// has changed by a quarter or more.
void
EntryCore::advertiseFreeSlots(TimePoint now)
{
  const Duration since = now - m_lastPlacesUpdateAt;
  if (m_shards.heldShards().empty() || since < slotsUpdateInterval)
    return;
  const unsigned slots = spareSlots(now);
  const unsigned change =
    std::max(slots, m_advertisedSlots) - std::min(slots, m_advertisedSlots);
  if (change * minSlotsChangeDivisor < std::max(slots, m_advertisedSlots))
    return;
  const std::set<VmId> holders = m_shards.holders();
  if (since < slotsUpdateIntervalPerHolder * holders.size())
    return;
  m_lastPlacesUpdateAt = now;
  m_advertisedSlots = slots;
  std::vector<VmId> others;
  for (const VmId& vm : holders) {
    if (vm != m_settings.vm)
      others.push_back(vm);
  }
  sendHeartbeats(others, now);
}

unsigned
EntryCore::spareSlots(TimePoint now) const
{
  unsigned slots = 0;
  for (const auto& [shard, token] : m_shards.heldShards())
    slots += m_scheduler.spareSlots(shard, now);
  return slots;
}

/// Checks for CPU starvation: ticks that come late for some time mean that this
/// process gets too little processor time.
void
EntryCore::updateCpuStarvation(TimePoint now)
{
  if (m_cpuStarvation.tick(now))
    logDecision(
      LogLevel::Info,
      m_cpuStarvation.isCpuStarved() ? "strained" : "strain-over",
      { { "latenessMs", toMilliseconds(m_cpuStarvation.lateness()) } });
  m_shards.setCpuStarved(m_cpuStarvation.isCpuStarved());
}

/// Passes the lag of the event loop on to all that wait for messages.
void
EntryCore::updateOverload(TimePoint now)
{
  m_overload.tick({ m_scheduler.waitingTasks(),
                    m_gateway.jobCount(),
                    m_scheduler.jobCount() },
                  now);
  m_scheduler.setLoopLag(m_overload.recentLag());
  m_gateway.setLoopLag(m_overload.recentLag());
}

/// Asks the workers of zones without a reachable daemon whether any daemon
/// still uses them.
void
EntryCore::probeOrphans(TimePoint now)
{
  std::set<ShardId> asked;
  for (const auto& [shard, token] : m_shards.shardsToProbe(now)) {
    asked.insert(shard);
    m_vacancyProbe.probe(shard, token, m_scheduler.workersOf(shard), now);
    if (!m_vacancyProbe.isVacant(shard))
      continue;
    logDecision(LogLevel::Info,
                "shard-vacant",
                { { "shard", shard.toString() }, { "lastToken", token } });
    m_shards.setUnused(shard, now);
  }
  m_vacancyProbe.dropOthers(asked);
}

PeerHeartbeat
EntryCore::makeHeartbeat(TimePoint now) const
{
  PeerHeartbeat beat;
  beat.isLeaving = isLeaving();
  beat.isReady = m_hasWorkers && m_configuration.version() > 0;
  for (const auto& [shard, token] : m_shards.heldShards())
    beat.shards[shard] = { token,
                           m_scheduler.spareSlots(shard, now),
                           m_scheduler.workersDigest(shard) };
  beat.isCpuStarved = m_cpuStarvation.isCpuStarved();
  beat.hasJustStarted = m_shards.hasJustStarted(now);
  beat.slowness = m_settings.slowness;
  beat.workerCapacity = maxWorkersFor(m_settings.limits);
  beat.taskRate = taskRateFor(m_settings.limits);
  beat.highestToken = m_tokens.highest();
  beat.configVersion = m_configuration.version();
  beat.evacuations = m_evacuations;
  // Peers that acknowledge this heartbeat thereby confirm that they have read
  // this list.
  beat.longRunningJobs = m_gateway.longRunningJobs(now);
  beat.isAckRequested = m_gateway.hasUnadvertisedJobs(now);
  beat.sentAt = PeerLiveness::toSentAt(now);
  return beat;
}

void
EntryCore::applyShardDecisions(TimePoint now)
{
  for (const ShardId& shard : std::exchange(m_fenced, {}))
    m_shards.workerFenced(shard, now);
  const ShardTable::Decisions decisions = m_shards.decide(now);
  for (const ShardId& shard : decisions.release) {
    const PeerShardReleased release = shardRelease(shard, now);
    logDecision(LogLevel::Info,
                "shard-released",
                { { "shard", shard.toString() },
                  { "token", release.token },
                  { "isIsolated", m_shards.isIsolated() } });
    m_shards.shardReleased(shard, now);
    m_handover.shardReleased(shard);
    m_scheduler.releaseShard(shard, now);
    const std::set<VmId> up = m_links.connectedPeers();
    m_links.sendToEach({ up.begin(), up.end() }, release);
  }
  for (const ShardId& shard : decisions.take) {
    const FencingToken token = m_tokens.next();
    logDecision(LogLevel::Info,
                "shard-taken",
                { { "shard", shard.toString() },
                  { "token", token },
                  { "peers", m_links.connectedPeers().size() } });
    m_shards.shardTaken(shard, token, now);
    m_scheduler.takeShard(shard, token, now);
    useStatement(m_handover.shardTaken(shard, token, now), now);
    m_ports.publishHolder(shard, token);
  }
  if (!decisions.release.empty() || !decisions.take.empty())
    sendHeartbeatToAll(now);
}

void
EntryCore::checkShutdown(TimePoint now)
{
  if (!m_shutdownStartedAt || !m_onShutdownDone)
    return;
  const Duration since = now - *m_shutdownStartedAt;
  const bool isIdle = m_gateway.jobCount() == 0 && m_scheduler.jobCount() == 0;
  const bool isDone = isIdle && since >= m_settings.balancerDelay;
  if (!isDone && since < m_grace - exitMargin)
    return;
  std::exchange(m_onShutdownDone, nullptr)();
}

void
EntryCore::received(const VmId& vm, const PeerMessage& message)
{
  const TimePoint now = observeTime();
  // A pause that was noticed just now has closed the connection of the message.
  // State that the message would set is removed only when a connection is lost,
  // so it would stay for good if the peer doesn't connect again.
  if (!m_links.isConnected(vm))
    return;
  m_lastReadAt[vm] = now;
  if (const auto* beat = std::get_if<PeerHeartbeat>(&message))
    heartbeatReceived(vm, *beat, now);
  else if (const auto* submit = std::get_if<PeerSubmit>(&message))
    submitted(vm, *submit, now);
  else if (const auto* ack = std::get_if<PeerHeartbeatAck>(&message))
    heartbeatAcknowledged(vm, *ack, now);
  else if (const auto* cancel = std::get_if<PeerCancel>(&message))
    m_scheduler.cancel(cancel->key, now);
  else if (const auto* ended = std::get_if<PeerJobEnd>(&message))
    m_gateway.partEnded(vm, ended->key, ended->end, now);
  else if (const auto* back = std::get_if<PeerTasksReturned>(&message))
    m_gateway.tasksReturned(vm, back->key, back->returned, now);
  else if (const auto* starts = std::get_if<PeerUnresolvedStarts>(&message))
    unresolvedReceived(*starts, now);
  else if (const auto* release = std::get_if<PeerShardReleased>(&message))
    useStatement(m_handover.released(*release, now), now);
  else if (const auto* keep = std::get_if<PeerJobAdvertised>(&message))
    m_scheduler.liftExclusivity(keep->key, now);
  else if (const auto* recall = std::get_if<PeerRecall>(&message))
    m_links.send(
      vm,
      PeerRecallAck{ recall->job, m_gateway.recallReceived(vm, *recall, now) });
  else if (const auto* recalled = std::get_if<PeerRecallAck>(&message))
    recallAcknowledged(vm, *recalled, now);
  else if (const auto* registration =
             std::get_if<PeerJobRegistration>(&message))
    m_registrations.registrationReceived(vm, *registration, now);
  else if (const auto* answer = std::get_if<PeerJobRegistrationAck>(&message))
    m_registrations.ackReceived(vm, *answer, now);
  else if (const auto* news = std::get_if<PeerWorkerChanges>(&message))
    m_ports.workerChangesForwarded(*news);
  else
    m_configuration.received(vm, message, now);
}

void
EntryCore::heartbeatReceived(const VmId& vm,
                             const PeerHeartbeat& beat,
                             TimePoint now)
{
  const bool areShardsChanged = m_peerReports.received(vm, beat, now);
  m_peerContact.heartbeatReceived(vm, beat.sentAt, now);
  m_knownJobs.update(vm, beat.longRunningJobs, now);
  m_gateway.longRunningJobsReceived(vm, beat.longRunningJobs, now);
  if (beat.isAckRequested)
    m_links.send(vm, m_peerContact.acknowledgement(vm));
  adoptEvacuations(beat.evacuations, now);
  m_tokens.observe(beat.highestToken);
  const MemberView& member = m_peerReports.member(vm);
  if (m_shards.updateMember(member, now))
    updateShardSizes(now);
  adoptShardDivisions(beat, now);
  for (const auto& [shard, held] : beat.shards) {
    for (const ShardId& other :
         m_handover.holderReported(shard, held.token, now))
      m_scheduler.expectEarlierHoldersStarts(other, now);
  }
  if (areShardsChanged || beat.isLeaving)
    m_scheduler.forgetPeer(vm);
  if (!beat.isLeaving) {
    for (const auto& [shard, held] : beat.shards)
      m_scheduler.setPeerSlots(vm, shard, held.freeSlots);
  }
  m_configuration.versionAdvertised(vm, member.zone, beat.configVersion);
}

void
EntryCore::sendUnresolved(const std::vector<VmId>& vms,
                          const std::vector<UnresolvedStart>& starts,
                          TimePoint now)
{
  PeerUnresolvedStarts message;
  for (const UnresolvedStart& start : starts)
    message.starts.push_back({ start.key, start.worker, start.until - now });
  if (!message.starts.empty())
    m_links.sendToEach(vms, message);
}

void
EntryCore::sendNewUnresolved(TimePoint now)
{
  if (m_newUnresolved.empty())
    return;
  const auto starts = std::exchange(m_newUnresolved, {});
  const std::set<VmId> up = m_links.connectedPeers();
  sendUnresolved({ up.begin(), up.end() }, starts, now);
}

void
EntryCore::unresolvedReceived(const PeerUnresolvedStarts& message,
                              TimePoint now)
{
  for (const auto& start : message.starts)
    m_scheduler.addUnresolvedStart(
      { start.key, start.worker, now + start.remaining });
}

/// What the next holder has to know of the starts that were sent.
PeerShardReleased
EntryCore::shardRelease(const ShardId& shard, TimePoint now) const
{
  PeerShardReleased release;
  release.shard = shard;
  release.token = m_shards.heldShards().at(shard);
  for (const auto& [worker, until] : m_scheduler.lateStartsUntil(shard))
    release.lateStarts[worker] = std::max(until - now, Duration::zero());
  return release;
}

void
EntryCore::useStatement(const std::optional<ShardStatement>& statement,
                        TimePoint now)
{
  if (!statement)
    return;
  logDecision(LogLevel::Info,
              "shard-handed-over",
              { { "shard", statement->shard.toString() },
                { "token", statement->takenWith },
                { "workers", statement->lateStartsUntil.size() },
                { "withLateStarts", statement->workersWithLateStarts(now) } });
  m_scheduler.limitEarlierHoldersStarts(
    statement->shard, statement->takenWith, statement->lateStartsUntil, now);
}

void
EntryCore::submitted(const VmId& vm, const PeerSubmit& submit, TimePoint now)
{
  addClosePeer(vm);
  m_peerContact.acknowledged(vm, submit.ack, now);
  if (m_peerContact.takeOutOfTurnRequest(vm, now))
    sendHeartbeats({ vm }, now);
  if (const auto refusal = m_overload.refuseSubmitted(submit.request)) {
    jobEnded(submit.request.key, *refusal);
    return;
  }
  JobRequest request = submit.request;
  if (request.exclusiveFor != Duration::max()) {
    const auto sentAfter =
      PeerLiveness::sentAfter(submit.ack, submit.ackAge, now);
    if (!sentAfter) {
      jobEnded(request.key, { JobOutcome::NotHolder, Duration::zero(), {}, 1 });
      return;
    }
    request.exclusiveFor -= now - *sentAfter;
  }
  m_scheduler.submit(std::move(request), now);
}

/// Whether this daemon knows which jobs are in progress at the peers. If it
/// hasn't heard from all peers since its start or a pause, it may have missed
/// advertisements of theirs, and they may have missed its own. If all daemons
/// have just started, as after a loss of the whole group, there are no such
/// jobs.
bool
EntryCore::havePeersReported(TimePoint now) const
{
  const std::size_t known = m_links.knownPeerCount();
  return now >= m_peersReportedAt || m_shards.haveAllJustStarted() ||
         (known > 0 && m_shards.members().size() >= known);
}

/// Whether this daemon may be in the smaller part of a partitioned group. Only
/// silent peers count as lost: a closed connection means that the peer's
/// process has ended.
bool
EntryCore::mayBePartitioned(TimePoint now) const
{
  return mayBePartitioned(m_links.connectedPeers().size() + 1, now);
}

/// As above, with the number of daemons that can be reached, this one included.
bool
EntryCore::mayBePartitioned(std::size_t reachable, TimePoint now) const
{
  const std::size_t known = m_links.knownPeerCount() + 1;
  const bool hasDiscoveredFew = now < m_discoveryEndsAt && known > reachable &&
                                known - reachable >= reachable;
  return hasDiscoveredFew || m_losses.mayBePartitioned(reachable, now);
}

std::optional<PeerJobs::Location>
EntryCore::inProgressAt(const JobId& job, TimePoint readAt)
{
  const TimePoint now = m_clocks.steady();
  if (!havePeersReported(now))
    return PeerJobs::Location{
      std::nullopt, std::min(m_peersReportedAt, now + peerReportPollInterval)
    };
  if (mayBePartitioned(now)) {
    if (const auto until = m_partitionCheck.waitUntil(readAt, now))
      return PeerJobs::Location{ std::nullopt, *until };
  }
  return m_knownJobs.find(job, now);
}

/// The time of the newest heartbeat that all reachable peers have read. In a
/// group that is too large for a heartbeat to each peer in each interval, only
/// the peers that share jobs with this daemon count.
TimePoint
EntryCore::allAdvertisedUntil() const
{
  TimePoint advertisedUntil = TimePoint::max();
  const TimePoint now = m_clocks.steady();
  const std::set<VmId> up = m_links.connectedPeers();
  if (!havePeersReported(now) || mayBePartitioned(up.size() + 1, now))
    return TimePoint();
  for (const VmId& vm : up) {
    if (m_heartbeats.sendsToEachPeer() || m_closePeers.count(vm) > 0)
      advertisedUntil =
        std::min(advertisedUntil, m_peerContact.advertisedUntil(vm));
  }
  return advertisedUntil;
}

/// Acknowledges the heartbeats of holders that have this daemon's jobs, which
/// shows them that it is alive.
void
EntryCore::acknowledgeHeartbeats(TimePoint now)
{
  for (const VmId& vm : m_jobHolders) {
    if (const auto ack = m_peerContact.takeDueAcknowledgement(vm, now))
      m_links.send(vm, *ack);
  }
}

void
EntryCore::heartbeatAcknowledged(const VmId& vm,
                                 const PeerHeartbeatAck& ack,
                                 TimePoint now)
{
  const Duration before = now - m_peerContact.lastContact(vm);
  m_peerContact.acknowledged(vm, ack, now);
  if (before > m_settings.scheduler.maxContactAgeForStart)
    m_scheduler.contactRenewed(now);
}

/// Divides zones anew when the number of workers that their daemons can hold
/// has changed.
void
EntryCore::updateShardSizes(TimePoint now)
{
  if (!m_shardSizes.update(m_shards.smallestWorkerCapacities(), now))
    return;
  for (const auto& [zone, workers] : m_shardSizes.limits())
    logEvent(LogLevel::Info,
             "shard-size",
             { { "zone", zone }, { "workers", workers } });
  m_scheduler.setMaxShardSizes(m_shardSizes.limits());
  if (m_hasWorkers)
    updateWorkerList(now);
}

void
EntryCore::adoptShardDivisions(const PeerHeartbeat& beat, TimePoint now)
{
  bool isDivisionChanged = false;
  for (const auto& [shard, held] : beat.shards)
    isDivisionChanged = m_scheduler.adoptShardCount(shard) || isDivisionChanged;
  if (isDivisionChanged)
    applyShardDivision(now);
}

void
EntryCore::logPeerLost(const VmId& vm, PeerLoss loss, TimePoint now)
{
  const auto lastRead = m_lastReadAt.extract(vm);
  const TimePoint lastReadAt = lastRead ? lastRead.mapped() : now;
  const IdList handedTo = m_gateway.jobsSubmittedTo(vm);
  const IdList heldFor = m_scheduler.jobsOf(vm);
  logDecision(LogLevel::Info,
              "peer-lost",
              { { "peer", vm },
                { "cause", loss == PeerLoss::Silent ? "silent" : "closed" },
                { "sinceReadMs", toMilliseconds(now - lastReadAt) },
                { "jobsHandedTo", handedTo.count() },
                { "jobsHeldFor", heldFor.count() },
                { "handedTo", handedTo.text() },
                { "heldFor", heldFor.text() } });
}

void
EntryCore::peerDown(const VmId& vm, PeerLoss loss)
{
  const TimePoint now = m_clocks.steady();
  logPeerLost(vm, loss, now);
  m_closePeers.erase(vm);
  m_jobHolders.erase(vm);
  m_peerContact.peerLost(vm);
  m_knownJobs.peerLost(vm, now);
  recordLoss(vm, loss, now);
  m_shards.removeMember(vm, now);
  m_configuration.peerLost(vm);
  m_scheduler.peerLost(vm, loss == PeerLoss::Silent, now);
  m_gateway.peerLost(vm, now);
  m_registrations.peerDown(vm, m_gateway.registeredJobs(), now);
}

void
EntryCore::recallAcknowledged(const VmId& vm,
                              const PeerRecallAck& recalled,
                              TimePoint now)
{
  if (recalled.endedWithin == Duration::zero())
    m_knownJobs.ended(vm, recalled.job);
  m_gateway.recallAcknowledged(vm, recalled.job, recalled.endedWithin, now);
}

void
EntryCore::recordLoss(const VmId& vm, PeerLoss loss, TimePoint now)
{
  if (loss == PeerLoss::Silent)
    m_losses.peerLost(vm, now);
  if (mayBePartitioned(now))
    m_gateway.advertiseAgain(now + partitionedJobLimit);
}

void
EntryCore::jobEnded(const JobKey& key, const JobEnd& end)
{
  if (key.submitter() == m_settings.vm) {
    m_links.post([this, key, end] {
      m_gateway.partEnded(m_settings.vm, key, end, observeTime());
    });
    return;
  }
  m_links.send(key.submitter(), PeerJobEnd{ key, end });
}

void
EntryCore::tasksReturned(const JobKey& key, const TasksReturned& returned)
{
  if (key.submitter() == m_settings.vm) {
    m_links.post([this, key, returned] {
      m_gateway.tasksReturned(m_settings.vm, key, returned, observeTime());
    });
    return;
  }
  m_links.send(key.submitter(), PeerTasksReturned{ key, returned });
}

bool
EntryCore::submitTo(const VmId& vm, const JobRequest& request)
{
  if (vm != m_settings.vm) {
    addClosePeer(vm);
    m_jobHolders.insert(vm);
    m_peerReports.useSlots(vm, request.shard, request.tasks.size());
    return m_links.send(
      vm,
      PeerSubmit{ request,
                  m_peerContact.acknowledgement(vm),
                  m_peerContact.acknowledgementAge(vm, m_clocks.steady()) });
  }
  m_scheduler.submit(request, m_clocks.steady());
  return true;
}

void
EntryCore::cancelAt(const VmId& vm, const JobKey& key)
{
  if (vm == m_settings.vm)
    m_scheduler.cancel(key, m_clocks.steady());
  else
    m_links.send(vm, PeerCancel{ key });
}

void
EntryCore::confirmAdvertisedAt(const VmId& vm, const JobKey& key)
{
  if (vm == m_settings.vm)
    m_scheduler.liftExclusivity(key, m_clocks.steady());
  else
    m_links.send(vm, PeerJobAdvertised{ key });
}

} // namespace cowslippin
