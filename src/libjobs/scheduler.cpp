#include "scheduler.h"

#include "admission.h"
#include "joblog.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// Weight of the newest task in the moving mean of task sizes.
constexpr double sizeWeight = 0.05;

/// Smallest size assumed for a slot, in thousandths of a core.
constexpr std::int64_t minSlotCpuMillis = 1000;

RestartCause
causeOf(RunEnd end, bool wasStalled)
{
  if (wasStalled)
    return RestartCause::Stalled;
  return end == RunEnd::Expired ? RestartCause::Expired : RestartCause::RunLost;
}

} // namespace

Scheduler::Scheduler(VmId self, Settings settings, Hooks hooks)
  : m_self(std::move(self))
  , m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_pool(m_settings.pool, poolHooks())
  , m_admittedLoad({})
{
}

WorkerPool::Hooks
Scheduler::poolHooks()
{
  WorkerPool::Hooks hooks;
  hooks.orders = m_hooks.orders;
  hooks.higherToken = m_hooks.higherToken;
  hooks.workerFenced = m_hooks.workerFenced;
  hooks.runWantedUntil = [this](const RunKey& key) {
    return runWantedUntil(key);
  };
  hooks.runEnded = [this](const WorkerId& worker,
                          const RunKey& key,
                          RunEnd end) { runEnded(worker, key, end); };
  hooks.startRejected =
    [this](const WorkerId& worker, const RunKey& key, OrderFailure failure) {
      startRejected(worker, key, failure);
    };
  hooks.unresolvedStartFound =
    [this](const WorkerId& worker, const RunKey& key, TimePoint until) {
      unresolvedStartFound({ key, worker, until });
    };
  hooks.startStopped = [this](const RunKey& key, StopCause cause) {
    startStopped(key, cause);
  };
  hooks.mayResend = [this](const RunKey& key) { return mayResend(key); };
  hooks.runProgressed =
    [this](const WorkerId& worker, const RunKey& key, int percent) {
      runProgressed(worker, key, percent);
    };
  hooks.orphanEnded = [this](const WorkerId&, const RunKey& key, RunEnd end) {
    if (end == RunEnd::Done)
      m_finishedOrphans[key.task()] = m_now;
  };
  return hooks;
}

void
Scheduler::submit(JobRequest request, TimePoint now)
{
  m_now = now;
  if (reattachJob(request)) {
    dispatch(now);
    return;
  }
  const JobKey key = request.key;
  const Duration expected =
    m_runTimes.expected(request.policy.queue, request.needs.estimate);
  auto owned =
    makeJob(std::move(request), expected, m_settings.worthlessFactor, now);
  Job& job = *owned;
  if (job.expiresAt <= now) {
    m_hooks.jobEnded(key, { JobOutcome::TimedOut, Duration::zero(), {}, 1 });
    return;
  }
  if (!holds(job.request.shard)) {
    m_hooks.jobEnded(key, { JobOutcome::NotHolder, Duration::zero(), {}, 1 });
    return;
  }
  if (mustRefuse(job, now)) {
    const JobEnd end = refusedEnd(job, now);
    logJob("job-refused", job, &end, m_now);
    m_hooks.jobEnded(key, end);
    return;
  }
  m_jobs.emplace(key, std::move(owned));
  m_admittedLoad.add(job.request.shard,
                     job.request.policy.queue,
                     slackOf(job),
                     waitingWork(job),
                     now);
  logJob("job-accepted", job, nullptr, m_now);
  adoptOrQuarantineRuns(job, now);
  if (job.isOver()) {
    finish(job, completedEnd(job), StopCause::JobOver);
    return;
  }
  m_queue.add(job);
  dispatch(now);
}

/// Returns until when the lease of a run may be renewed, or nothing if it may
/// not. It may not be renewed for a job whose submitter was lost, even if
/// messages from it are received again: it may have handed the job to another
/// daemon.
std::optional<TimePoint>
Scheduler::runWantedUntil(const RunKey& key) const
{
  const auto found = m_runs.find(key);
  if (found == m_runs.end() || found->second.job->abandonAt)
    return std::nullopt;
  const Job& job = *found->second.job;
  const VmId& submitter = job.request.key.submitter();
  return std::min(m_hooks.lastContact(submitter) + maxRunAfterContact,
                  job.exclusiveUntil);
}

Duration
Scheduler::contactAge(const Job& job, TimePoint now) const
{
  return now - m_hooks.lastContact(job.request.key.submitter());
}

/// Whether it is certain that the submitter wants the job at present, so that
/// its tasks may start.
bool
Scheduler::mayStart(const Job& job, TimePoint now) const
{
  return !job.abandonAt &&
         contactAge(job, now) <= m_settings.maxContactAgeForStart &&
         now <= job.exclusiveUntil - exclusiveStartMargin;
}

/// Whether messages from the submitter arrive too late. A new submitter may not
/// have sent any yet, so its contact counts as no older than the receipt of the
/// job.
bool
Scheduler::hasLostContact(const Job& job, TimePoint now) const
{
  const Duration since = std::min(contactAge(job, now), now - job.receivedAt);
  return !job.abandonAt && job.request.key.submitter() != m_self &&
         since > m_settings.maxContactAge;
}

/// Adopts an orphaned run of the task on a held worker. Returns false if there
/// is none.
bool
Scheduler::adoptRun(Job& job, std::size_t position, TimePoint now)
{
  JobTask& task = job.tasks[position];
  const auto run = m_pool.adopt(job.request.taskName(task.index),
                                job.request.needs.resources,
                                job.earlierHolderLostAt);
  if (!run)
    return false;
  task.worker = run->first;
  task.run = run->second.run();
  task.token = 0;
  task.nextRun = std::max(task.nextRun, task.run + 1);
  task.startedAt = now;
  task.wasAdopted = true;
  task.progressAt = now;
  m_runs[run->second] = { &job, position };
  m_pool.renewAfterAdoption(run->first, now);
  return true;
}

/// Adopts the runs of a job that a lost daemon left on workers now held here,
/// and quarantines the tasks for which none is found.
void
Scheduler::adoptOrQuarantineRuns(Job& job, TimePoint now)
{
  if (!job.request.mayHaveRun)
    return;
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    JobTask& task = job.tasks[i];
    const std::string name = job.request.taskName(task.index);
    if (m_finishedOrphans.erase(name) > 0) {
      logFoundDone(job, task, now);
      dequeueTask(job, task, TaskState::Done);
      ++job.done;
      continue;
    }
    if (adoptRun(job, i, now)) {
      dequeueTask(job, task, TaskState::Running);
      logRunAdopted(job, task, now);
    } else {
      quarantine(job, task, now);
    }
  }
}

/// Keeps a task from being started while an earlier run of it may be in
/// progress.
void
Scheduler::quarantine(Job& job, JobTask& task, TimePoint now)
{
  const auto& quarantine = job.request.quarantine;
  if (!quarantine)
    return;
  if (quarantine->activeTasks) {
    const auto& locations = *quarantine->activeTasks;
    const auto location = std::find_if(
      locations.begin(), locations.end(), [&](const TaskLocation& known) {
        return known.task == task.index;
      });
    if (location == locations.end())
      return;
    task.lastWorker = location->worker;
  }
  dequeueTask(job, task, TaskState::Quarantined);
  task.quarantinedUntil = now + quarantine->timeRemaining;
  logQuarantined(job, task, now);
  // A report from before the loss doesn't count. The next regular report would
  // arrive when the run, considered orphaned, is already being stopped.
  if (const auto worker = m_pool.workerOf(job.request.taskName(task.index)))
    m_pool.requestReport(*worker, now);
}

bool
Scheduler::mustRefuse(const Job& job, TimePoint now) const
{
  if (job.request.mayHaveRun)
    return false;
  if (isEvacuated(job))
    return true;
  AdmissionRequest request;
  request.tasks = static_cast<unsigned>(job.tasks.size());
  request.freeSlots = m_pool.freeSlots(job.request, now);
  request.canEverRun = m_pool.canEverRun(job.request);
  request.wasReferred = !job.request.allowsReturn;
  request.mayGoElsewhere = peerOfferFor(job).has_value();
  request.expectedWait = expectedWait(job, now);
  request.runTime = runTimeOf(job, now);
  request.timeLeft = job.expiresAt - now;
  request.age = now - job.arrivedAt;
  request.objective = job.objectiveAt - job.arrivedAt;
  return !mayAdmit(request, m_settings.refusalFactor);
}

/// Expected time from the first start of the job's tasks to the last end. Tasks
/// that may not run beside each other on a worker run one after the other where
/// there are too few workers.
Duration
Scheduler::runTimeOf(const Job& job, TimePoint now) const
{
  if (job.request.needs.maxPerWorker == 0)
    return job.expected;
  const unsigned parallel = m_pool.maxParallelTasks(job.request, now);
  if (parallel == 0)
    return job.expected;
  const auto tasks = static_cast<unsigned>(job.tasks.size());
  const unsigned rounds = (tasks + parallel - 1) / parallel;
  return job.expected * rounds;
}

JobEnd
Scheduler::refusedEnd(const Job& job, TimePoint now) const
{
  return { JobOutcome::Refused, retryAfter(expectedWait(job, now)), {}, 1 };
}

void
Scheduler::cancel(const JobKey& key, TimePoint now)
{
  m_now = now;
  cancel(key, StopCause::Cancelled);
}

void
Scheduler::cancel(const JobKey& key, StopCause cause)
{
  const auto found = m_jobs.find(key);
  if (found == m_jobs.end())
    return;
  logJobCancelled(*found->second, m_now);
  removeJob(*found->second, cause);
  dispatch(m_now);
}

void
Scheduler::liftExclusivity(const JobKey& key, TimePoint now)
{
  m_now = now;
  const auto found = m_jobs.find(key);
  if (found == m_jobs.end())
    return;
  found->second->exclusiveUntil = TimePoint::max();
  dispatch(now);
}

void
Scheduler::peerLost(const VmId& vm, bool wasSilent, TimePoint now)
{
  m_now = now;
  forgetPeer(vm);
  for (auto& [key, job] : m_jobs) {
    if (key.submitter() != vm || job->abandonAt)
      continue;
    job->submitterLostAt = now;
    job->abandonAt = now + (wasSilent ? m_settings.silentSubmitterGrace
                                      : m_settings.lostSubmitterGrace);
  }
}

void
Scheduler::contactRenewed(TimePoint now)
{
  m_now = now;
  dispatch(now);
}

void
Scheduler::setWorkers(const WorkerList& list, TimePoint now)
{
  m_now = now;
  m_pool.setWorkers(list, now);
  dispatch(now);
}

void
Scheduler::setEvacuatedZones(const std::set<ZoneName>& zones, TimePoint now)
{
  m_now = now;
  m_pool.setEvacuatedZones(zones);
  for (const ZoneName& zone : zones)
    m_peerSlots.forget(zone);
  dispatch(now);
}

void
Scheduler::takeShard(const ShardId& shard, FencingToken token, TimePoint now)
{
  m_now = now;
  m_pool.takeShard(shard, token, now);
}

void
Scheduler::limitEarlierHoldersStarts(
  const ShardId& shard,
  FencingToken claimedWith,
  const std::map<WorkerId, TimePoint>& lateStartsUntil,
  TimePoint now)
{
  m_now = now;
  m_pool.limitEarlierHoldersStarts(shard, claimedWith, lateStartsUntil);
  dispatch(now);
}

void
Scheduler::releaseShard(const ShardId& shard, TimePoint now)
{
  m_now = now;
  const auto workerOf = [this](const std::string& task) {
    return m_pool.workerOf(task);
  };
  std::vector<std::pair<Job*, JobEnd>> ends;
  for (const auto& [key, job] : m_jobs) {
    if (job->request.shard == shard)
      ends.emplace_back(job.get(), movedEnd(*job, workerOf));
    else
      quarantineRunsOn(*job, shard);
  }
  for (const auto& [worker, start] : m_pool.unansweredStarts(shard))
    announceUnresolvedStart({ start.key, worker, start.expiresAt });
  m_pool.releaseShard(shard);
  for (const auto& [job, end] : ends) {
    for (auto run = m_runs.begin(); run != m_runs.end();) {
      if (run->second.job == job)
        run = m_runs.erase(run);
      else
        ++run;
    }
    finish(*job, end, StopCause::Moved);
  }
}

/// Quarantines the tasks of a job that stays here but has runs on a shard that
/// is released, as happens when its zone is divided anew. The next holder stops
/// those runs. Until they are certain to be over, their tasks don't start
/// again.
void
Scheduler::quarantineRunsOn(Job& job, const ShardId& shard)
{
  for (JobTask& task : job.tasks) {
    const RunKey run(job.request.taskName(task.index), task.run);
    const auto worker = m_pool.workerOf(run.task());
    const bool mayRun =
      task.state == TaskState::Running || task.state == TaskState::Pending;
    if (!mayRun || !worker || !m_pool.belongsToShard(*worker, shard))
      continue;
    m_runs.erase(run);
    task.nextRun += runNumberGap;
    task.lastWorker = *worker;
    task.quarantinedUntil = m_now + maxOrphanedRun;
    job.earlierHolderLostAt = m_now;
    logQuarantined(job, task, m_now);
    if (task.state == TaskState::Pending)
      dequeueTask(job, task, TaskState::Quarantined);
    else
      task.state = TaskState::Quarantined;
  }
}

/// Continues a job under a new key after its submitter had lost the connection
/// for a moment. Tasks that the submitter lists again had been returned in a
/// message that it didn't receive. Returns false if no part of the job is here.
bool
Scheduler::reattachJob(const JobRequest& request)
{
  const JobKey previous(
    request.key.submitter(), request.key.job(), request.previousPart);
  auto node = m_jobs.extract(previous);
  if (request.previousPart == 0 || node.empty())
    return false;
  node.key() = request.key;
  Job& job = *node.mapped();
  job.request.key = request.key;
  if (job.abandonAt)
    logJobReattached(job, m_now);
  job.abandonAt.reset();
  job.receivedAt = m_now;
  job.exclusiveUntil =
    request.exclusiveFor == Duration::max()
      ? TimePoint::max()
      : std::min(job.exclusiveUntil, m_now + request.exclusiveFor);
  m_jobs.insert(std::move(node));
  const std::set<TaskIndex> wanted(request.tasks.begin(), request.tasks.end());
  for (JobTask& task : job.tasks) {
    if (task.state != TaskState::Returned || wanted.count(task.index) == 0)
      continue;
    --job.returned;
    enqueueTask(job, task);
  }
  return true;
}

void
Scheduler::leaseOrderAnswered(const WorkerId& worker,
                              const SentLeaseOrder& sent,
                              const LeaseOrderAnswer& answer,
                              TimePoint now)
{
  m_now = now;
  m_pool.leaseOrderAnswered(worker, sent, answer, now);
  dispatch(now);
}

void
Scheduler::startAnswered(const WorkerId& worker,
                         const RunKey& key,
                         const OrderAnswer& answer,
                         TimePoint now)
{
  m_now = now;
  m_pool.startAnswered(worker, key, answer, now);
  if (answer == OrderFailure::Unanswered)
    recordUnansweredStart(worker, key);
  if (answer)
    dispatch(now);
}

void
Scheduler::stopAnswered(const WorkerId& worker,
                        const RunKey& key,
                        const OrderAnswer& answer,
                        TimePoint now)
{
  m_now = now;
  m_pool.stopAnswered(worker, key, answer, now);
}

void
Scheduler::suspend(TimePoint now)
{
  m_now = now;
  m_isSuspended = true;
  std::vector<JobKey> foreign;
  for (const auto& [key, job] : m_jobs) {
    if (key.submitter() != m_self)
      foreign.push_back(key);
  }
  for (const JobKey& key : foreign)
    cancel(key, StopCause::Suspended);
}

void
Scheduler::resume(TimePoint now)
{
  m_now = now;
  m_isSuspended = false;
  dispatch(now);
}

void
Scheduler::tick(TimePoint now)
{
  m_now = now;
  m_unresolved.expire(now);
  m_pool.tick(now);
  tickJobs(now);
  for (auto done = m_finishedOrphans.begin();
       done != m_finishedOrphans.end();) {
    if (now - done->second > m_settings.orphanEndRetention)
      done = m_finishedOrphans.erase(done);
    else
      ++done;
  }
  dispatch(now);
}

unsigned
Scheduler::spareSlots(const ShardId& shard, TimePoint now) const
{
  const auto usual = static_cast<std::int64_t>(m_meanCpuMillis);
  const unsigned slots =
    m_pool.freeSlots(shard, std::max(usual, minSlotCpuMillis), now);
  const std::size_t waiting = m_queue.waitingTasks(shard);
  return slots > waiting ? slots - static_cast<unsigned>(waiting) : 0;
}

Duration
Scheduler::expectedWait(const Job& newcomer, TimePoint now) const
{
  const ShardId& shard = newcomer.request.shard;
  Backlog backlog;
  backlog.workBefore = m_queue.workBefore(shard, newcomer.latestStart);
  backlog.capacity =
    double(m_pool.totalCpuMillis(shard, now)) * m_settings.usableShare;
  backlog.takenByLaterJobs =
    m_admittedLoad.loadBefore(shard, slackOf(newcomer), now);
  return cowslippin::expectedWait(backlog);
}

std::set<VmId>
Scheduler::submitters() const
{
  std::set<VmId> submitters;
  for (const auto& [key, job] : m_jobs)
    submitters.insert(key.submitter());
  return submitters;
}

IdList
Scheduler::jobsOf(const VmId& submitter) const
{
  IdList jobs;
  for (const auto& [key, job] : m_jobs) {
    if (key.submitter() == submitter)
      jobs.add(key.job().value());
  }
  return jobs;
}

void
Scheduler::enqueueTask(Job& job, JobTask& task)
{
  task.state = TaskState::Pending;
  m_queue.addTask(job);
}

void
Scheduler::dequeueTask(Job& job, JobTask& task, TaskState state)
{
  task.state = state;
  m_queue.removeTask(job);
}

void
Scheduler::dispatch(TimePoint now)
{
  if (m_isDispatching || m_isSuspended || m_queue.isEmpty())
    return;
  m_isDispatching = true;
  m_candidates = m_pool.candidates(now);
  const JobQueue::Jobs& jobs = m_queue.jobs();
  std::int64_t room = roomForOneTask();
  for (auto next = jobs.begin(); next != jobs.end() && canServeAny(room);) {
    // The job may be removed from the queue.
    const JobQueue::Position position = next->first;
    if (serve(*next->second, room, now))
      room = roomForOneTask();
    next = jobs.upper_bound(position);
  }
  m_candidates = {};
  m_isDispatching = false;
}

/// Whether anything can be done for any waiting job.
bool
Scheduler::canServeAny(std::int64_t room) const
{
  return room >= m_queue.smallestCpuMillis() || m_peerSlots.hasOffer() ||
         m_pool.isAnyZoneEvacuated();
}

/// The CPU of the largest task for which some worker may have room. A task with
/// an unresolved start may be adopted from a worker on which nothing can be
/// started, so that all free capacity counts while there are any.
std::int64_t
Scheduler::roomForOneTask() const
{
  return m_unresolved.isEmpty() ? WorkerPool::largestFreeCpuMillis(m_candidates)
                                : m_pool.largestFreeCpuMillis();
}

/// Starts or returns the waiting tasks of a job as far as that is possible.
/// Returns whether it tried to start any.
bool
Scheduler::serve(Job& job, std::int64_t room, TimePoint now)
{
  if (isEvacuated(job)) {
    returnEvacuatedTasks(job);
    return false;
  }
  if (!mayStart(job, now))
    return false;
  job.awaitsReport = false;
  const bool hasRoom = job.request.needs.resources.cpuMillis() <= room;
  if (hasRoom)
    dispatchJob(job, now);
  if (job.pending > 0 && !job.awaitsReport)
    returnTasks(job);
  return hasRoom;
}

void
Scheduler::dispatchJob(Job& job, TimePoint now)
{
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].state != TaskState::Pending)
      continue;
    if (!startTask(job, i, now))
      return;
  }
}

bool
Scheduler::startTask(Job& job, std::size_t position, TimePoint now)
{
  JobTask& task = job.tasks[position];
  const std::string name = job.request.taskName(task.index);
  // A run of the same task, left by another submitter, is still being stopped.
  if (m_pool.isRunning(name)) {
    adoptUnresolvedStart(job, position, now);
    return true;
  }
  const auto binding = m_unresolved.binding(name);
  const WorkerConstraints constraints = constraintsOf(job, task, binding);
  const WorkerPool::Choice choice =
    m_pool.choose(m_candidates, job.request, constraints, now);
  const auto& worker = choice.worker;
  if (!worker) {
    job.awaitsReport = choice.awaitsReport;
    return binding.has_value();
  }
  if (binding && !task.mayReuseRun)
    task.nextRun = std::max(task.nextRun, binding->nextRun);
  const RunKey key(name, task.mayReuseRun ? task.run : task.nextRun++);
  task.mayReuseRun = false;
  dequeueTask(job, task, TaskState::Running);
  const WorkerId previous =
    task.worker.isEmpty() ? task.lastWorker : task.worker;
  task.worker = *worker;
  task.run = key.run();
  task.token = m_pool.tokenOf(*worker);
  task.startedAt = now;
  task.progressAt = now;
  task.percent = 0;
  task.isBeingStopped = false;
  task.wasAdopted = false;
  job.hasStarted = true;
  m_runs[key] = { &job, position };
  recordTaskSize(job.request.needs.resources);
  m_lossLog.taskStarted(job, task, previous, now);
  m_pool.start(
    *worker, key, job.request.needs.resources, job.request.spec, now);
  if (constraints.mustBeIdle)
    m_pool.reserveForRun(*worker, key);
  return true;
}

WorkerConstraints
Scheduler::constraintsOf(
  const Job& job,
  const JobTask& task,
  const std::optional<UnresolvedStarts::Binding>& binding) const
{
  WorkerConstraints constraints;
  constraints.avoidedWorkers = task.avoidedWorkers;
  if (job.request.needs.maxPerWorker > 0)
    constraints.spread = { job.request.taskPrefix,
                           job.request.taskName(task.index),
                           job.request.needs.maxPerWorker };
  constraints.mustBeIdle = task.crashes >= m_settings.isolateAfterCrashes;
  constraints.advertisedUntil =
    m_hooks.advertisedUntil(job.request.key.submitter());
  constraints.maxLeaseEnd = job.exclusiveUntil;
  // An empty id matches no worker.
  if (binding)
    constraints.requiredWorker = binding->worker.value_or(WorkerId());
  return constraints;
}

/// Adopts the run of a pending task whose unresolved start was carried out.
void
Scheduler::adoptUnresolvedStart(Job& job, std::size_t position, TimePoint now)
{
  JobTask& task = job.tasks[position];
  const bool isUnresolved =
    m_unresolved.binding(job.request.taskName(task.index)).has_value();
  if (!isUnresolved || !adoptRun(job, position, now))
    return;
  m_candidates = m_pool.candidates(now);
  dequeueTask(job, task, TaskState::Running);
  logRunAdopted(job, task, now);
}

void
Scheduler::recordTaskSize(const Resources& resources)
{
  const auto size = double(resources.cpuMillis());
  m_meanCpuMillis = m_meanCpuMillis == 0
                      ? size
                      : m_meanCpuMillis * (1 - sizeWeight) + size * sizeWeight;
}

/// Returns the holder to which tasks of the job could go instead, if they may
/// be returned and some holder has room.
std::optional<PeerSlots::Offer>
Scheduler::peerOfferFor(const Job& job) const
{
  return job.request.allowsReturn ? m_peerSlots.bestOffer() : std::nullopt;
}

/// Whether the task is pending and no run of it, whoever submitted it, is on a
/// held worker or may still begin.
bool
Scheduler::isReturnable(const Job& job, const JobTask& task) const
{
  const std::string name = job.request.taskName(task.index);
  return task.state == TaskState::Pending && !m_pool.isRunning(name) &&
         !m_unresolved.binding(name);
}

void
Scheduler::returnTasks(Job& job)
{
  const auto offer = peerOfferFor(job);
  if (!offer)
    return;
  TasksReturned returned;
  returned.holder = offer->holder;
  returned.shard = offer->shard;
  for (const JobTask& task : job.tasks) {
    if (isReturnable(job, task) && m_peerSlots.useSlot(offer->shard))
      returned.tasks.push_back(task.index);
  }
  returnTasks(job, returned);
}

/// Returns the waiting tasks of a job in an evacuated zone. The submitter finds
/// another holder or, if nothing was started, may refuse the caller.
void
Scheduler::returnEvacuatedTasks(Job& job)
{
  if (!job.hasStarted) {
    finish(job, refusedEnd(job, m_now), StopCause::Evacuated);
    return;
  }
  TasksReturned returned;
  for (const JobTask& task : job.tasks) {
    if (isReturnable(job, task))
      returned.tasks.push_back(task.index);
  }
  returnTasks(job, returned);
}

/// Returns tasks to the submitter and marks them as returned.
void
Scheduler::returnTasks(Job& job, const TasksReturned& tasks)
{
  if (tasks.tasks.empty())
    return;
  TasksReturned returned = tasks;
  for (JobTask& task : job.tasks) {
    if (std::find(tasks.tasks.begin(), tasks.tasks.end(), task.index) ==
        tasks.tasks.end())
      continue;
    returned.nextRun = std::max(returned.nextRun, task.nextRun);
    if (task.crashes > 0)
      returned.crashes[task.index] = task.crashes;
    dequeueTask(job, task, TaskState::Returned);
    ++job.returned;
  }
  job.hasStarted = true;
  logTasksReturned(job, returned);
  m_hooks.tasksReturned(job.request.key, returned);
  if (job.isOver())
    finish(job, completedEnd(job), StopCause::JobOver);
}

void
Scheduler::taskDone(Job& job, JobTask& task)
{
  task.state = TaskState::Done;
  ++job.done;
  if (job.isOver())
    finish(job, completedEnd(job), StopCause::JobOver);
}

void
Scheduler::taskFailed(Job& job, JobTask& task)
{
  ++task.failures;
  task.restartCause = RestartCause::Failed;
  task.avoidedWorkers.insert(task.worker);
  if (task.failures >= job.request.policy.maxAttempts)
    finish(job,
           { JobOutcome::Failed, Duration::zero(), {}, 1 },
           StopCause::JobFailed);
  else
    enqueueTask(job, task);
}

/// Counts a worker that was lost while a run of the task was in progress there.
/// Other tasks that ran beside it are counted as well. After several losses a
/// task runs alone on its worker, which shows whether it is the cause.
void
Scheduler::taskCrashed(Job& job, JobTask& task)
{
  ++task.crashes;
  task.restartCause = RestartCause::WorkerLost;
  logTaskCrashed(job, task);
  if (task.crashes >= m_settings.maxCrashes)
    finish(job,
           { JobOutcome::Failed, Duration::zero(), {}, 1 },
           StopCause::JobFailed);
  else
    enqueueTask(job, task);
}

void
Scheduler::runEnded(const WorkerId& worker, const RunKey& key, RunEnd end)
{
  recordUnansweredStart(worker, key);
  const auto found = m_runs.find(key);
  if (found == m_runs.end())
    return;
  Job& job = *found->second.job;
  JobTask& task = job.tasks[found->second.task];
  m_runs.erase(found);
  if (end != RunEnd::Done)
    logRunEnded(job, task, end, m_now);
  if (end == RunEnd::Done) {
    if (!task.wasAdopted)
      recordRunTime(job, task, worker);
    taskDone(job, task);
  } else if (end == RunEnd::Failed) {
    m_pool.recordFailure(worker, m_now);
    taskFailed(job, task);
  } else if (m_pool.isIncarnationOver(worker)) {
    taskCrashed(job, task);
  } else {
    task.restartCause = causeOf(end, task.isBeingStopped);
    enqueueTask(job, task);
  }
}

void
Scheduler::startRejected(const WorkerId& worker,
                         const RunKey& key,
                         OrderFailure failure)
{
  recordUnansweredStart(worker, key);
  const auto found = m_runs.find(key);
  if (found == m_runs.end())
    return;
  Job& job = *found->second.job;
  JobTask& task = job.tasks[found->second.task];
  m_runs.erase(found);
  logStartRejected(job, task, failure);
  if (failure == OrderFailure::StaleRun) {
    task.nextRun += runNumberGapAfter(task.staleStarts++);
    task.restartCause = RestartCause::StaleRun;
  }
  if (failure == OrderFailure::Invalid) {
    taskFailed(job, task);
    return;
  }
  if (failure != OrderFailure::StaleRun)
    task.avoidedWorkers.insert(worker);
  enqueueTask(job, task);
}

/// Makes the task wait to be started again, on the same worker only.
void
Scheduler::unresolvedStartFound(const UnresolvedStart& start)
{
  announceUnresolvedStart(start);
  const auto found = m_runs.find(start.key);
  if (found == m_runs.end())
    return;
  Job& job = *found->second.job;
  JobTask& task = job.tasks[found->second.task];
  m_runs.erase(found);
  logRunEnded(job, task, RunEnd::Lost, m_now);
  task.restartCause = RestartCause::RunLost;
  task.mayReuseRun = true;
  enqueueTask(job, task);
}

/// Records and announces the start if a copy of it may still be carried out.
void
Scheduler::recordUnansweredStart(const WorkerId& worker, const RunKey& key)
{
  if (const auto until = m_pool.unansweredStartExpiry(worker, key))
    announceUnresolvedStart({ key, worker, *until });
}

bool
Scheduler::mayResend(const RunKey& key) const
{
  const auto found = m_runs.find(key);
  return found != m_runs.end() && !m_isSuspended &&
         mayStart(*found->second.job, m_now) &&
         !isEvacuated(*found->second.job);
}

void
Scheduler::announceUnresolvedStart(const UnresolvedStart& start)
{
  m_unresolved.add(start);
  m_hooks.unresolvedStartFound(start);
}

void
Scheduler::runProgressed(const WorkerId&, const RunKey& key, int percent)
{
  const auto found = m_runs.find(key);
  if (found == m_runs.end())
    return;
  JobTask& task = found->second.job->tasks[found->second.task];
  if (percent <= task.percent)
    return;
  task.percent = percent;
  task.progressAt = m_now;
}

void
Scheduler::recordRunTime(const Job& job,
                         const JobTask& task,
                         const WorkerId& worker)
{
  const Duration actual = m_now - task.startedAt;
  const auto& request = job.request;
  m_runTimes.record(request.policy.queue, request.needs.estimate, actual);
  const double expected = std::max<double>(1, double(job.expected.count()));
  m_pool.recordSlowness(
    worker, request.key, double(actual.count()) / expected, m_now);
}

void
Scheduler::finish(Job& job, const JobEnd& end, StopCause cause)
{
  const JobKey key = job.request.key;
  logJob("job-ended", job, &end, m_now);
  if (end.outcome == JobOutcome::Moved)
    logJobMoved(job, end, m_now);
  removeJob(job, cause);
  m_hooks.jobEnded(key, end);
}

void
Scheduler::removeJob(Job& job, StopCause cause)
{
  m_queue.remove(job);
  const JobKey key = job.request.key;
  std::vector<const JobTask*> running;
  for (const JobTask& task : job.tasks) {
    const RunKey run(job.request.taskName(task.index), task.run);
    if (task.state == TaskState::Running && m_runs.erase(run) > 0)
      running.push_back(&task);
  }
  for (const JobTask* task : running)
    stopRun(job, *task, cause);
  m_jobs.erase(key);
}

void
Scheduler::stopRun(const Job& job, const JobTask& task, StopCause cause)
{
  const RunKey run(job.request.taskName(task.index), task.run);
  if (m_pool.stop(task.worker, run, m_now))
    logRunStopped(job, task, cause, m_now);
}

/// Logs the stop of a start that had no usable answer.
void
Scheduler::startStopped(const RunKey& key, StopCause cause)
{
  const auto found = m_runs.find(key);
  if (found == m_runs.end())
    return;
  const Job& job = *found->second.job;
  logRunStopped(job, job.tasks[found->second.task], cause, m_now);
}

void
Scheduler::tickJobs(TimePoint now)
{
  std::vector<Job*> jobs;
  for (const auto& [key, job] : m_jobs)
    jobs.push_back(job.get());
  for (Job* job : jobs)
    tickJob(*job, now);
}

void
Scheduler::tickJob(Job& job, TimePoint now)
{
  if (job.abandonAt && now >= *job.abandonAt) {
    logJobAbandoned(job, m_now);
    removeJob(job, StopCause::SubmitterLost);
    return;
  }
  if (now >=
      std::min(job.expiresAt, job.exclusiveUntil - exclusiveStopMargin)) {
    finish(job,
           { JobOutcome::TimedOut, Duration::zero(), {}, 1 },
           now >= job.expiresAt ? StopCause::TimedOut
                                : StopCause::ExclusiveTimeOver);
    return;
  }
  if (hasLostContact(job, now)) {
    returnJob(job, now);
    return;
  }
  if (!job.hasStarted &&
      now + job.expected > std::min(job.worthlessAt, job.expiresAt)) {
    finish(job, refusedEnd(job, now), StopCause::Refused);
    return;
  }
  if (!updateQuarantine(job, now))
    return;
  if (const auto until = unresolvedUntil(job)) {
    finish(job,
           { JobOutcome::Unresolved, *until - now, {}, 1 },
           StopCause::Unresolved);
    return;
  }
  stopStalledRuns(job, now);
}

/// Returns until when some task of the job can't be started anywhere, if that
/// is after the end of its caller's wait.
std::optional<TimePoint>
Scheduler::unresolvedUntil(const Job& job) const
{
  if (m_unresolved.isEmpty())
    return std::nullopt;
  for (const JobTask& task : job.tasks) {
    if (task.state != TaskState::Pending)
      continue;
    const std::string name = job.request.taskName(task.index);
    const auto binding = m_unresolved.binding(name);
    if (!binding || binding->until < job.expiresAt || m_pool.isRunning(name))
      continue;
    if (!binding->worker ||
        !m_pool.isAvailableFor(*binding->worker, job.request))
      return binding->until;
  }
  return std::nullopt;
}

/// Stops the job's runs while there is time for that and reports this to the
/// submitter, which may be alive and hand the job over again.
void
Scheduler::returnJob(Job& job, TimePoint now)
{
  logContactLost(job, contactAge(job, now));
  if (!job.hasStarted) {
    finish(job, refusedEnd(job, now), StopCause::SubmitterLate);
    return;
  }
  const auto workerOf = [this](const std::string& task) {
    return m_pool.workerOf(task);
  };
  finish(job, movedEnd(job, workerOf), StopCause::SubmitterLate);
}

/// Adopts the runs of quarantined tasks, or ends the quarantine once the tasks
/// may be started again. Returns false if that ended the job. That the worker
/// of an earlier run doesn't list it ends a quarantine only after a stop,
/// because a worker may list a run some time after it has accepted it.
bool
Scheduler::updateQuarantine(Job& job, TimePoint now)
{
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    JobTask& task = job.tasks[i];
    if (task.state != TaskState::Quarantined)
      continue;
    const std::string name = job.request.taskName(task.index);
    if (adoptRun(job, i, now)) {
      task.state = TaskState::Running;
      logRunAdopted(job, task, now);
    } else if (m_finishedOrphans.erase(name) > 0) {
      logQuarantineEnded(job, task, true, now);
      const bool isLast = job.done + job.returned + 1 == job.tasks.size();
      taskDone(job, task);
      if (isLast)
        return false;
    } else if (m_pool.isRunning(name)) {
      // The run is being stopped, but the next holder of its worker may prevent
      // that.
      continue;
    } else if (const auto cause = restartCauseOf(job, task, now);
               cause != RestartCause::None) {
      if (cause == RestartCause::WorkerReported &&
          !task.areEarlierStartsFenced) {
        task.areEarlierStartsFenced = true;
        m_pool.fenceUnlistedStarts(
          task.lastWorker, RunKey(name, task.nextRun - 1), now);
        continue;
      }
      task.restartCause = cause;
      logQuarantineEnded(job, task, false, now);
      enqueueTask(job, task);
    }
  }
  return true;
}

/// Returns why a quarantined task may be started again, or `None` while an
/// earlier run may be in progress.
RestartCause
Scheduler::restartCauseOf(const Job& job,
                          const JobTask& task,
                          TimePoint now) const
{
  if (isEarlierRunOver(job, task))
    return task.lastWorker.isEmpty() ? RestartCause::ShardReported
                                     : RestartCause::WorkerReported;
  return now >= task.quarantinedUntil ? RestartCause::QuarantineExpired
                                      : RestartCause::None;
}

/// Whether the workers that may have an earlier run of the task have reported
/// that it is over. That the platform doesn't list a worker proves nothing.
bool
Scheduler::isEarlierRunOver(const Job& job, const JobTask& task) const
{
  const auto& quarantine = job.request.quarantine;
  if (!quarantine)
    return false;
  if (!task.lastWorker.isEmpty())
    return m_pool.hasWorkerReported(task.lastWorker, job.earlierHolderLostAt);
  return !quarantine->activeTasks && quarantine->lostHoldersWorkers &&
         m_pool.hasShardReported(quarantine->lostHoldersWorkers->shard,
                                 quarantine->lostHoldersWorkers->digest,
                                 job.earlierHolderLostAt);
}

void
Scheduler::stopStalledRuns(Job& job, TimePoint now)
{
  for (JobTask& task : job.tasks) {
    if (task.state != TaskState::Running || !isStalled(job, task, now))
      continue;
    ++task.restarts;
    task.isBeingStopped = true;
    task.avoidedWorkers.insert(task.worker);
    logRunStalled(job, task, now);
    m_pool.recordStall(task.worker, now);
    stopRun(job, task, StopCause::Stalled);
  }
}

bool
Scheduler::isStalled(const Job& job, const JobTask& task, TimePoint now) const
{
  if (task.isBeingStopped || task.restarts >= m_settings.maxStallRestarts)
    return false;
  const Duration sinceProgress = now - task.progressAt;
  return sinceProgress >
         scaled(job.expected, m_settings.stallFactor) + m_settings.stallMargin;
}

} // namespace cowslippin
