#include "workerpool.h"

#include "leaselog.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace cowslippin {

namespace {

/// Whether the worker has the service and the label that the job requires.
bool
matchesRequest(const WorkerRecord& worker, const JobRequest& request)
{
  const std::string& label = request.needs.requiredLabel;
  return worker.service() == request.policy.service &&
         (label.empty() || worker.hasLabel(label));
}

/// Whether a start failed because of the state of its worker, so that the next
/// one, whichever task it is of, would fail as well.
bool
isForOwnState(OrderFailure failure)
{
  return failure == OrderFailure::NotSent || failure == OrderFailure::Late ||
         failure == OrderFailure::NoRoom ||
         failure == OrderFailure::OtherIncarnation;
}

unsigned
toUnsigned(std::int64_t count)
{
  constexpr std::int64_t most = std::numeric_limits<unsigned>::max();
  return static_cast<unsigned>(std::min(count, most));
}

/// Whether all runs that were started on the worker before `since` are known.
bool
hasReportedSince(const WorkerLease& lease, TimePoint since)
{
  return lease.state() == LeaseState::Held &&
         lease.reportRequestedAt() >= since;
}

} // namespace

WorkerPool::WorkerPool(Settings settings, Hooks hooks)
  : m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_answerTimes(std::make_shared<OrderTimeouts>(settings.answers))
{
}

void
WorkerPool::setWorkers(const WorkerList& list, TimePoint now)
{
  m_list = list;
  m_map.update(list);
  recordCapacities();
  for (auto& [id, entry] : m_entries)
    entry.isListed = m_list.count(id) > 0;
  for (const auto& [id, record] : m_list) {
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
      found->second.lease->setRecord(record, now);
      claimRestarted(id, found->second, now);
    } else if (holds(m_map.shardOf(record))) {
      const bool hasLostOrders = m_withLostOrders.erase(id) > 0;
      addWorker(record,
                hasLostOrders ? m_hooks.higherToken(0)
                              : m_shards.at(m_map.shardOf(record)),
                now);
    }
  }
  for (auto id = m_withLostOrders.begin(); id != m_withLostOrders.end();)
    id = m_list.count(*id) > 0 ? std::next(id) : m_withLostOrders.erase(id);
  removeUnlisted();
}

void
WorkerPool::recordCapacities()
{
  std::map<WorkerId, Resources> full;
  for (const auto& [id, record] : m_list) {
    const auto known = m_fullCapacity.find(id);
    full[id] = known == m_fullCapacity.end()
                 ? record.capacity()
                 : componentwiseMax(known->second, record.capacity());
  }
  m_fullCapacity = std::move(full);
}

ShardDigest
WorkerPool::workersDigest(const ShardId& shard) const
{
  if (!holds(shard))
    return m_map.digest(m_list, shard);
  ShardDigest digest = 0;
  for (const auto& [id, entry] : m_entries) {
    if (entry.shard == shard)
      digest += digestOf(id);
  }
  return digest;
}

void
WorkerPool::takeShard(const ShardId& shard, FencingToken token, TimePoint now)
{
  m_shards[shard] = token;
  for (const auto& [id, record] : m_list) {
    if (m_map.shardOf(record) == shard && m_entries.count(id) == 0)
      addWorker(record, token, now);
  }
}

std::vector<WorkerRecord>
WorkerPool::workersOf(const ShardId& shard) const
{
  std::vector<WorkerRecord> workers;
  for (const auto& [id, record] : m_list) {
    if (m_map.shardOf(record) == shard)
      workers.push_back(record);
  }
  return workers;
}

std::map<WorkerId, TimePoint>
WorkerPool::lateStartsUntil(const ShardId& shard) const
{
  std::map<WorkerId, TimePoint> untils;
  for (const auto& [id, entry] : m_entries) {
    const auto until = entry.lease->lateStartsUntil();
    if (entry.shard == shard && until)
      untils[id] = *until;
  }
  return untils;
}

void
WorkerPool::limitEarlierHoldersStarts(
  const ShardId& shard,
  FencingToken claimedWith,
  const std::map<WorkerId, TimePoint>& lateStartsUntil)
{
  for (const auto& [worker, until] : lateStartsUntil) {
    Entry* entry = find(worker);
    if (entry != nullptr && entry->shard == shard)
      entry->lease->limitEarlierHoldersStarts(claimedWith, until);
  }
}

void
WorkerPool::expectEarlierHoldersStarts(const ShardId& shard, TimePoint now)
{
  for (auto& [id, entry] : m_entries) {
    if (entry.shard == shard)
      entry.lease->expectEarlierHoldersStarts(now);
  }
}

void
WorkerPool::releaseShard(const ShardId& shard)
{
  m_shards.erase(shard);
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    if (entry->second.shard == shard)
      entry = m_entries.erase(entry);
    else
      ++entry;
  }
}

bool
WorkerPool::hasShardReported(const ShardId& shard,
                             ShardDigest previousHolderDigest,
                             TimePoint since) const
{
  if (!holds(shard) || workersDigest(shard) != previousHolderDigest)
    return false;
  return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
    return item.second.shard != shard ||
           hasReportedSince(*item.second.lease, since);
  });
}

bool
WorkerPool::hasWorkerReported(const WorkerId& worker, TimePoint since) const
{
  const auto found = m_entries.find(worker);
  return found != m_entries.end() &&
         hasReportedSince(*found->second.lease, since);
}

WorkerPool::Candidates
WorkerPool::candidates(TimePoint now)
{
  Candidates candidates;
  for (auto& item : m_entries) {
    const Entry& entry = item.second;
    if (entry.isListed && canStart(entry, Resources()) && isUsable(entry, now))
      candidates.m_workers.push_back(&item);
  }
  return candidates;
}

std::int64_t
WorkerPool::largestFreeCpuMillis(const Candidates& candidates)
{
  std::int64_t largest = 0;
  for (const auto* item : candidates.m_workers)
    largest = std::max(largest, item->second.lease->freeCapacity().cpuMillis());
  return largest;
}

WorkerPool::Choice
WorkerPool::choose(const Candidates& candidates,
                   const JobRequest& request,
                   const WorkerConstraints& constraints,
                   TimePoint now)
{
  using Rank = std::tuple<bool, bool, SpeedClass, std::int64_t>;
  std::optional<Rank> bestRank;
  const WorkerId* best = nullptr;
  std::vector<WorkerLease*> unsafe;
  for (const auto* item : candidates.m_workers) {
    const auto& [id, entry] = *item;
    if (!satisfiesConstraints(id, entry, constraints) ||
        !isEligible(entry, request, constraints, now))
      continue;
    if (!isSafe(entry, request, constraints, now)) {
      unsafe.push_back(entry.lease.get());
      continue;
    }
    if (!mayBeChosen(entry, constraints))
      continue;
    const std::string& rack = request.needs.preferredRack;
    const bool isOtherRack =
      !rack.empty() && !entry.lease->record().hasLabel(rack);
    const Resources left =
      entry.lease->freeCapacity() - request.needs.resources;
    const Rank rank(constraints.avoidedWorkers.count(id) > 0,
                    isOtherRack,
                    entry.speedEstimate.speedClass,
                    left.cpuMillis());
    if (!bestRank || rank < *bestRank) {
      bestRank = rank;
      best = &id;
    }
  }
  if (best != nullptr)
    return { *best, false };
  for (WorkerLease* lease : unsafe)
    lease->requestReport(now);
  return { std::nullopt, !unsafe.empty() };
}

bool
WorkerPool::canEverRun(const JobRequest& request) const
{
  const auto fits = [&](const auto& item) {
    const WorkerRecord& record = item.second;
    return matchesRequest(record, request) && !isEvacuated(record.zone()) &&
           request.needs.resources.fitsIn(m_fullCapacity.at(record.id()));
  };
  return std::any_of(m_list.begin(), m_list.end(), fits);
}

void
WorkerPool::start(const WorkerId& worker,
                  const RunKey& key,
                  const Resources& resources,
                  const std::string& spec,
                  TimePoint now)
{
  m_presumedOver.runStarted(worker, key);
  m_entries.at(worker).lease->start(key, resources, spec, now);
}

void
WorkerPool::reserveForRun(const WorkerId& worker, const RunKey& key)
{
  m_entries.at(worker).reservedFor = key.task();
}

bool
WorkerPool::isIncarnationOver(const WorkerId& worker) const
{
  const auto found = m_entries.find(worker);
  if (found == m_entries.end())
    return false;
  const LeaseState state = found->second.lease->state();
  return state == LeaseState::Restarted || state == LeaseState::Ended;
}

bool
WorkerPool::stop(const WorkerId& worker, const RunKey& key, TimePoint now)
{
  Entry* entry = find(worker);
  return entry != nullptr && entry->lease->stop(key, now);
}

void
WorkerPool::fenceUnlistedStarts(const WorkerId& worker,
                                const RunKey& key,
                                TimePoint now)
{
  if (Entry* entry = find(worker))
    entry->lease->fenceUnlistedStarts(key, now);
}

void
WorkerPool::requestReport(const WorkerId& worker, TimePoint now)
{
  if (Entry* entry = find(worker))
    entry->lease->requestReport(now);
}

std::optional<TimePoint>
WorkerPool::unansweredStartExpiry(const WorkerId& worker,
                                  const RunKey& key) const
{
  const auto found = m_entries.find(worker);
  return found == m_entries.end()
           ? std::nullopt
           : found->second.lease->unansweredStartExpiry(key);
}

std::vector<std::pair<WorkerId, UnansweredStart>>
WorkerPool::unansweredStarts(const ShardId& shard) const
{
  std::vector<std::pair<WorkerId, UnansweredStart>> starts;
  for (const auto& [id, entry] : m_entries) {
    if (entry.shard != shard)
      continue;
    for (const UnansweredStart& start : entry.lease->unansweredStarts())
      starts.emplace_back(id, start);
  }
  return starts;
}

bool
WorkerPool::isAvailableFor(const WorkerId& worker,
                           const JobRequest& request) const
{
  const auto found = m_entries.find(worker);
  if (found == m_entries.end())
    return false;
  const Entry& entry = found->second;
  const WorkerLease& lease = *entry.lease;
  const bool isReachable = lease.state() == LeaseState::Held ||
                           lease.state() == LeaseState::Claiming ||
                           lease.state() == LeaseState::Restarted;
  return isReachable && entry.isListed && entry.shard == request.shard &&
         matchesRequest(lease.record(), request) &&
         !lease.record().isDraining() && !isEvacuated(lease.record().zone());
}

std::optional<std::pair<WorkerId, RunKey>>
WorkerPool::adopt(const std::string& task,
                  const Resources& resources,
                  TimePoint since)
{
  for (auto& [id, entry] : m_entries) {
    if (!entry.lease->hasOrphans() || !hasReportedSince(*entry.lease, since))
      continue;
    if (const auto key = entry.lease->adoptOrphan(task, resources))
      return std::make_pair(id, *key);
  }
  return std::nullopt;
}

void
WorkerPool::renewAfterAdoption(const WorkerId& worker, TimePoint now)
{
  Entry* entry = find(worker);
  if (entry != nullptr && !entry->lease->hasOrphans())
    entry->lease->requestReport(now);
}

std::optional<WorkerId>
WorkerPool::workerOf(const std::string& task) const
{
  std::optional<WorkerId> found;
  for (const auto& [id, entry] : m_entries) {
    if (!entry.lease->isIdle() && entry.lease->isRunning(task))
      found = found ? WorkerId() : id;
  }
  return found;
}

bool
WorkerPool::belongsToShard(const WorkerId& worker, const ShardId& shard) const
{
  const auto found = m_entries.find(worker);
  return worker.isEmpty() ||
         (found != m_entries.end() && found->second.shard == shard);
}

void
WorkerPool::leaseOrderAnswered(const WorkerId& worker,
                               const SentLeaseOrder& sent,
                               const LeaseOrderAnswer& answer,
                               TimePoint now)
{
  Entry* entry = find(worker);
  if (entry == nullptr)
    return;
  m_answeredAt = now;
  entry->lease->leaseOrderAnswered(sent, answer, now);
  claimRestarted(worker, *entry, now);
}

void
WorkerPool::startAnswered(const WorkerId& worker,
                          const RunKey& key,
                          const OrderAnswer& answer,
                          TimePoint now)
{
  Entry* entry = find(worker);
  if (entry == nullptr)
    return;
  if (answer == OrderFailure::Unhealthy)
    entry->health.runStalled(now);
  else if (answer && isForOwnState(*answer))
    entry->startsAllowedAt = now + m_settings.startRetryDelay;
  entry->lease->startAnswered(key, answer, now);
}

void
WorkerPool::stopAnswered(const WorkerId& worker,
                         const RunKey& key,
                         const OrderAnswer& answer,
                         TimePoint now)
{
  if (Entry* entry = find(worker))
    entry->lease->stopAnswered(key, answer, now);
}

void
WorkerPool::recordSlowness(const WorkerId& worker,
                           const JobKey& job,
                           double slowness,
                           TimePoint now)
{
  Entry* entry = find(worker);
  if (entry == nullptr)
    return;
  entry->health.runEnded(RunEnd::Done, slowness, now);
  // The tasks of a job share the error of their estimate, so that a worker of
  // usual speed would look fast or slow after two jobs.
  if (entry->speedSampledFrom == job)
    return;
  entry->speedSampledFrom = job;
  entry->speed.record(slowness);
  m_speeds.record(entry->lease->record().labels(), slowness);
  estimateSpeed(*entry);
}

void
WorkerPool::recordFailure(const WorkerId& worker, TimePoint now)
{
  if (Entry* entry = find(worker))
    entry->health.runEnded(RunEnd::Failed, 0, now);
}

void
WorkerPool::recordStall(const WorkerId& worker, TimePoint now)
{
  if (Entry* entry = find(worker))
    entry->health.runStalled(now);
}

void
WorkerPool::tick(TimePoint now)
{
  for (auto& [id, entry] : m_entries)
    entry.lease->tick(now);
  removeUnlisted();
  reclaim(now);
}

unsigned
WorkerPool::freeSlots(const ShardId& shard,
                      std::int64_t cpuMillis,
                      TimePoint now) const
{
  std::int64_t slots = 0;
  for (const auto& [id, entry] : m_entries) {
    if (entry.shard == shard)
      slots += freeSlots(entry, cpuMillis, now);
  }
  return toUnsigned(slots);
}

std::int64_t
WorkerPool::freeSlots(const Entry& entry,
                      std::int64_t cpuMillis,
                      TimePoint now) const
{
  if (!isUsable(entry, now) || !canStart(entry, Resources(cpuMillis, 0, 0)))
    return 0;
  return entry.lease->freeCapacity().cpuMillis() /
         std::max<std::int64_t>(cpuMillis, 1);
}

unsigned
WorkerPool::freeSlots(const JobRequest& request, TimePoint now) const
{
  const std::int64_t cpuMillis = request.needs.resources.cpuMillis();
  const SpreadLimit limit{ request.taskPrefix, {}, request.needs.maxPerWorker };
  std::int64_t slots = 0;
  for (const auto& [id, entry] : m_entries) {
    if (entry.shard == request.shard &&
        matchesRequest(entry.lease->record(), request))
      slots += std::min<std::int64_t>(freeSlots(entry, cpuMillis, now),
                                      entry.lease->freeTasks(limit));
  }
  return toUnsigned(slots);
}

unsigned
WorkerPool::maxParallelTasks(const JobRequest& request, TimePoint now) const
{
  const std::int64_t cpuMillis =
    std::max<std::int64_t>(request.needs.resources.cpuMillis(), 1);
  const std::int64_t most = request.needs.maxPerWorker > 0
                              ? request.needs.maxPerWorker
                              : std::numeric_limits<unsigned>::max();
  std::int64_t tasks = 0;
  for (const auto& [id, entry] : m_entries) {
    const WorkerRecord& record = entry.lease->record();
    if (entry.shard == request.shard && isInService(entry, now) &&
        matchesRequest(record, request))
      tasks += std::min(record.capacity().cpuMillis() / cpuMillis, most);
  }
  return toUnsigned(tasks);
}

bool
WorkerPool::isInService(const Entry& entry, TimePoint now) const
{
  const WorkerLease& lease = *entry.lease;
  return lease.state() == LeaseState::Held && !lease.record().isDraining() &&
         !isEvacuated(lease.record().zone()) && !entry.health.isExcluded(now);
}

std::int64_t
WorkerPool::totalCpuMillis(const ShardId& shard, TimePoint now) const
{
  std::int64_t total = 0;
  for (const auto& [id, entry] : m_entries) {
    const Resources& capacity = entry.lease->record().capacity();
    if (entry.shard == shard && isInService(entry, now))
      total +=
        std::int64_t(double(capacity.cpuMillis()) * entry.speedEstimate.factor);
  }
  return total;
}

std::int64_t
WorkerPool::largestFreeCpuMillis() const
{
  std::int64_t largest = 0;
  for (const auto& [id, entry] : m_entries) {
    if (!isEvacuated(entry.lease->record().zone()))
      largest = std::max(largest, entry.lease->freeCapacity().cpuMillis());
  }
  return largest;
}

std::vector<WorkerPool::WorkerView>
WorkerPool::snapshot() const
{
  std::vector<WorkerView> views;
  for (const auto& [id, entry] : m_entries) {
    views.push_back({ id,
                      entry.lease->state(),
                      entry.lease->runCount(),
                      entry.speed.meanRatio(),
                      entry.speedEstimate.speedClass,
                      entry.health.failureShare() });
  }
  return views;
}

WorkerPool::Entry*
WorkerPool::find(const WorkerId& worker)
{
  const auto found = m_entries.find(worker);
  return found == m_entries.end() ? nullptr : &found->second;
}

void
WorkerPool::addWorker(const WorkerRecord& record,
                      FencingToken token,
                      TimePoint now)
{
  const ShardId shard = m_map.shardOf(record);
  Entry entry(m_settings.health);
  entry.shard = shard;
  entry.addedAt = now;
  entry.lease = std::make_unique<WorkerLease>(
    record, m_settings.lease, leaseHooks(record.id()), m_answerTimes, now);
  estimateSpeed(entry);
  const auto added = m_entries.emplace(record.id(), std::move(entry)).first;
  added->second.lease->claim(token, now);
}

WorkerLease::Hooks
WorkerPool::leaseHooks(const WorkerId& id)
{
  WorkerLease::Hooks hooks;
  hooks.sendLeaseOrder = [this, id](const LeaseOrder& order, Duration timeout) {
    m_hooks.orders.hold(m_entries.at(id).lease->record(), order, timeout);
  };
  hooks.sendStart = [this, id](const StartOrder& order, Duration timeout) {
    m_hooks.orders.start(m_entries.at(id).lease->record(), order, timeout);
  };
  hooks.sendStop = [this, id](const StopOrder& order, Duration timeout) {
    m_hooks.orders.stop(m_entries.at(id).lease->record(), order, timeout);
  };
  hooks.runEnded = [this, id](const RunKey& key, RunEnd end) {
    m_hooks.runEnded(id, key, end);
  };
  hooks.startRejected = [this, id](const RunKey& key, OrderFailure failure) {
    m_hooks.startRejected(id, key, failure);
  };
  hooks.unresolvedStartFound = [this, id](const RunKey& key, TimePoint until) {
    logStartUnresolved(id, key);
    m_hooks.unresolvedStartFound(id, key, until);
  };
  hooks.runProgressed = [this, id](const RunKey& key, int percent) {
    m_hooks.runProgressed(id, key, percent);
  };
  hooks.orphanFound = [this, id](const RunKey& key) {
    logOrphanFound(id, key);
    detectReappearance(id, key, "running");
  };
  hooks.orphanStopped = [id](const auto& note) { logLeaseEvent(id, note); };
  hooks.stopFailed = [id](const auto& note) { logLeaseEvent(id, note); };
  hooks.endingRunRenewed = [id](const auto& note) { logLeaseEvent(id, note); };
  hooks.expired = [id](const auto& note) { logLeaseEvent(id, note); };
  hooks.runPresumedOver = [this, id](const auto& note) {
    presumeOver(id, note);
  };
  hooks.orphanEnded = [this, id](const RunKey& key, RunEnd end) {
    logOrphanEnded(id, key, end);
    if (end == RunEnd::Done || end == RunEnd::Failed)
      detectReappearance(id, key, toString(end));
    m_hooks.orphanEnded(id, key, end);
  };
  hooks.runWantedUntil = m_hooks.runWantedUntil;
  hooks.startStopped = m_hooks.startStopped;
  hooks.mayResend = m_hooks.mayResend;
  hooks.stateChanged = [this, id](LeaseState state) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
      return;
    logEvent(LogLevel::Info,
             "lease-changed",
             { { "worker", id },
               { "state", toString(state) },
               { "token", found->second.lease->token() } });
    if (state == LeaseState::Held)
      found->second.refusals = 0;
    if (state == LeaseState::Fenced) {
      ++found->second.refusals;
      found->second.fencedAt.reset();
      m_hooks.workerFenced(found->second.shard);
    }
  };
  return hooks;
}

void
WorkerPool::presumeOver(const WorkerId& id, const RunPresumedOver& note)
{
  logLeaseEvent(id, note);
  m_presumedOver.add(id, note);
}

void
WorkerPool::detectReappearance(const WorkerId& id,
                               const RunKey& key,
                               const char* state)
{
  const auto note = m_presumedOver.runListed(id, key, m_answeredAt);
  if (note)
    logRunReappeared(id, m_entries.at(id).lease->token(), *note, state);
}

/// Done only when a worker is added and after each of its runs: choosing a
/// worker is much more frequent.
void
WorkerPool::estimateSpeed(Entry& entry) const
{
  entry.speedEstimate =
    m_speeds.estimate(entry.speed, entry.lease->record().labels());
}

/// Claims a restarted worker again at once. The health of its earlier
/// incarnation says nothing about the new one.
void
WorkerPool::claimRestarted(const WorkerId& id, Entry& entry, TimePoint now)
{
  if (entry.lease->state() != LeaseState::Restarted)
    return;
  const FencingToken token = m_hooks.higherToken(0);
  m_shards[entry.shard] = token;
  entry.health = WorkerHealth(m_settings.health);
  entry.speed = WorkerSpeed(speedSamples);
  estimateSpeed(entry);
  logDecision(LogLevel::Info,
              "worker-restarted",
              { { "worker", id },
                { "token", token },
                { "unansweredRuns", entry.lease->runCount() } });
  entry.lease->claim(token, now);
}

void
WorkerPool::removeUnlisted()
{
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const WorkerLease& lease = *entry->second.lease;
    const bool isEnded = lease.state() == LeaseState::Ended;
    const bool isOver = isEnded || (!entry->second.isListed && lease.isIdle());
    if (isEnded)
      m_withLostOrders.insert(entry->first);
    if (isOver)
      entry = m_entries.erase(entry);
    else
      ++entry;
  }
}

void
WorkerPool::reclaim(TimePoint now)
{
  std::map<ShardId, FencingToken> tokens;
  for (auto& [id, entry] : m_entries) {
    if (entry.lease->state() != LeaseState::Fenced)
      continue;
    if (!entry.fencedAt) {
      entry.fencedAt = now;
      entry.reclaimWait = std::clamp(entry.reclaimWait * 2,
                                     m_settings.reclaimDelay,
                                     m_settings.maxReclaimDelay);
    }
    if (now - *entry.fencedAt < entry.reclaimWait)
      continue;
    const auto [token, isNew] = tokens.try_emplace(entry.shard);
    if (isNew) {
      token->second = m_hooks.higherToken(entry.refusals);
      m_shards[entry.shard] = token->second;
    }
    entry.lease->claim(token->second, now);
  }
}

bool
WorkerPool::isUsable(const Entry& entry, TimePoint now)
{
  return now >= entry.startsAllowedAt &&
         entry.health.isUsable(entry.lease->runCount(), now);
}

bool
WorkerPool::canStart(const Entry& entry, const Resources& resources) const
{
  const bool isReserved =
    !entry.reservedFor.empty() && entry.lease->isRunning(entry.reservedFor);
  return !isReserved && entry.lease->canStart(resources) &&
         !isEvacuated(entry.lease->record().zone());
}

bool
WorkerPool::satisfiesConstraints(const WorkerId& id,
                                 const Entry& entry,
                                 const WorkerConstraints& constraints)
{
  const bool isOtherRequired =
    constraints.requiredWorker && *constraints.requiredWorker != id;
  return !isOtherRequired &&
         entry.lease->leasedUntil() <= constraints.maxLeaseEnd;
}

bool
WorkerPool::isSafe(const Entry& entry,
                   const JobRequest& request,
                   const WorkerConstraints& constraints,
                   TimePoint now)
{
  return entry.lease->isSafeToStart(
           request.needs.resources, now, constraints.spread) &&
         (!constraints.requiredWorker || entry.lease->isReportFresh(now));
}

bool
WorkerPool::mayBeChosen(const Entry& entry,
                        const WorkerConstraints& constraints)
{
  return (!constraints.mustBeIdle || entry.lease->runCount() == 0) &&
         entry.addedAt <= constraints.advertisedUntil;
}

bool
WorkerPool::isEligible(const Entry& entry,
                       const JobRequest& request,
                       const WorkerConstraints& constraints,
                       TimePoint now) const
{
  const WorkerLease& lease = *entry.lease;
  return entry.isListed && entry.shard == request.shard &&
         matchesRequest(lease.record(), request) &&
         canStart(entry, request.needs.resources) && isUsable(entry, now) &&
         lease.freeTasks(constraints.spread) > 0;
}

} // namespace cowslippin
