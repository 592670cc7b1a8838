#pragma once

#include "admittedload.h"
#include "job.h"
#include "jobend.h"
#include "jobqueue.h"
#include "losslog.h"
#include "peerslots.h"
#include "runtimes.h"
#include "unresolvedstarts.h"
#include "workerpool.h"

#include "libobserve/idlist.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslippin {

/// Runs jobs on the workers of the shards that this daemon holds. The daemon
/// that holds a shard is called its holder. Jobs with waiting tasks are in one
/// queue, ordered by the latest time at which they must start. Tasks that find
/// no room here are returned to their submitter, which hands them to a holder
/// that has room. The class does no input or output and reads no clock: the
/// caller passes the time to each function.
class Scheduler
{
public:
  struct Settings
  {
    WorkerPool::Settings pool;
    /// A job is refused on arrival if its expected response time is more than
    /// this many times its objective.
    double refusalFactor = 1.25;
    /// An answer later than this many times the response time objective has no
    /// value: a job that has not started is refused once it can't be done by
    /// then, or by its caller's deadline.
    double worthlessFactor = worthlessResponseFactor;
    /// Share of the workers' capacity that tasks can use, as they don't fill
    /// workers exactly: two tasks of 6.8 cores use 13.6 of 16 cores.
    double usableShare = 0.82;
    /// How long the runs of a submitter go on after it became unreachable.
    /// Together with the time that a stop takes, this is well below the 1,300
    /// ms after which a caller submits its job again.
    Duration lostSubmitterGrace = std::chrono::milliseconds(200);
    /// The same for a submitter from which nothing was received for the silence
    /// limit between daemons, 450 ms. If the worker can't be reached either,
    /// its lease has to expire as well: 450 + 50 + 765 = 1,265 ms in total.
    Duration silentSubmitterGrace = std::chrono::milliseconds(50);
    /// A run is stopped, and its task started again elsewhere, when the run has
    /// made no progress for this many times its expected run time plus
    /// `stallMargin`.
    double stallFactor = 2.0;
    Duration stallMargin = std::chrono::milliseconds(150);
    unsigned maxStallRestarts = 3;
    /// A task during whose runs this many workers were lost gets a worker of
    /// its own, as the task may be what crashes them.
    unsigned isolateAfterCrashes = 2;
    /// A task during whose runs this many workers were lost is given up, and
    /// its job fails.
    unsigned maxCrashes = 3;
    /// A job is returned to its submitter when the submitter's last contact is
    /// older than this, because messages from it arrive late.
    Duration maxContactAge = std::chrono::milliseconds(850);
    /// Nothing is started for a submitter whose last contact is older than
    /// this. A run lasts at least as long as the lease that its worker already
    /// has, as leases are never shortened. This limit and the lease time add up
    /// to `maxRunAfterContact`.
    Duration maxContactAgeForStart = std::chrono::milliseconds(490);
    /// How long the end of an orphaned run is remembered for a job that may ask
    /// for its task.
    Duration orphanEndRetention = std::chrono::seconds(2);
  };

  /// All hooks must be set.
  struct Hooks
  {
    WorkerOrders orders;
    /// Reports the end of a job to its submitter. This is the last report on
    /// the job.
    std::function<void(const JobKey&, const JobEnd&)> jobEnded;
    /// Returns tasks to the submitter and names the holder to hand them to.
    std::function<void(const JobKey&, const TasksReturned&)> tasksReturned;
    /// Returns a fencing token higher than any known one, see
    /// `WorkerPool::Hooks`.
    std::function<FencingToken(unsigned refusals)> higherToken;
    /// Announces a start of unknown outcome to the other holders, as its job
    /// may be handed to them.
    std::function<void(const UnresolvedStart&)> unresolvedStartFound;
    /// Another daemon has claimed a worker of a shard held here.
    std::function<void(const ShardId&)> workerFenced;
    /// Returns when a submitter, which may be this daemon, was last known to be
    /// alive and to know which of its callers were connected, on this daemon's
    /// clock. Returns a time long ago if no message from it was ever received.
    std::function<TimePoint(const VmId&)> lastContact;
    /// Returns up to which time the workers held here have been advertised to a
    /// submitter, on this daemon's clock: the submitter knows the workers that
    /// were added before. This daemon itself always knows them.
    std::function<TimePoint(const VmId&)> advertisedUntil;
  };

  Scheduler(VmId self, Settings settings, Hooks hooks);

  /// Accepts a job, or continues one under a new key, see
  /// `JobRequest::previousPart`. A job that can't be accepted ends at once with
  /// the reason as its outcome.
  void submit(JobRequest request, TimePoint now);
  /// Stops the runs of a job whose caller has disconnected. No end is reported.
  void cancel(const JobKey& key, TimePoint now);
  /// Lifts the limit of `JobRequest::exclusiveFor`, as the other daemons have
  /// been told of the job.
  void liftExclusivity(const JobKey& key, TimePoint now);
  /// Called when a daemon has become unreachable: its jobs are abandoned soon
  /// unless it submits them again. `wasSilent` says that nothing was received
  /// from it for the silence limit.
  void peerLost(const VmId& vm, bool wasSilent, TimePoint now);
  /// Called when a message is received from a submitter after a gap: starts the
  /// tasks that waited for it.
  void contactRenewed(TimePoint now);

  /// Sets the platform's list of workers, see `WorkerPool::setWorkers`.
  void setWorkers(const WorkerList& list, TimePoint now);
  /// Sets the availability zones that are being evacuated. Nothing is started
  /// on their workers, and tasks waiting for them are returned to their
  /// submitters at once.
  void setEvacuatedZones(const std::set<ZoneName>& zones, TimePoint now);
  bool isEvacuated(const ZoneName& zone) const
  {
    return m_pool.isEvacuated(zone);
  }
  std::set<ShardId> shards() const { return m_pool.shards(); }
  /// Sets the maximum number of workers per shard in each zone.
  void setMaxShardSizes(const std::map<ZoneName, std::size_t>& bounds)
  {
    m_pool.setMaxShardSizes(bounds);
  }
  /// Sets how late the event loop reads the workers' answers.
  void setLoopLag(Duration lag) { m_pool.setLoopLag(lag); }
  /// Adopts the number of shards into which another daemon divides a zone, see
  /// `ShardMap::adoptShardCount`. Returns true if this changes `shards`.
  bool adoptShardCount(const ShardId& shard)
  {
    return m_pool.adoptShardCount(shard);
  }
  /// Returns the shard of the present division that has workers of a shard of
  /// another division, see `ShardMap::currentShard`.
  ShardId currentShard(const ShardId& shard) const
  {
    return m_pool.currentShard(shard);
  }
  /// Takes a shard: claims its listed workers with this fencing token.
  void takeShard(const ShardId& shard, FencingToken token, TimePoint now);
  /// Returns a hash of the set of a shard's workers, see
  /// `WorkerPool::workersDigest`.
  ShardDigest workersDigest(const ShardId& shard) const
  {
    return m_pool.workersDigest(shard);
  }
  /// Returns the listed workers of a shard, whether or not it is held here.
  std::vector<WorkerRecord> workersOf(const ShardId& shard) const
  {
    return m_pool.workersOf(shard);
  }
  /// See `WorkerPool::lateStartsUntil`.
  std::map<WorkerId, TimePoint> lateStartsUntil(const ShardId& shard) const
  {
    return m_pool.lateStartsUntil(shard);
  }
  /// See `WorkerLease::limitEarlierHoldersStarts`. Starts what no longer has to
  /// wait for a report.
  void limitEarlierHoldersStarts(
    const ShardId& shard,
    FencingToken claimedWith,
    const std::map<WorkerId, TimePoint>& lateStartsUntil,
    TimePoint now);
  /// See `WorkerLease::expectEarlierHoldersStarts`.
  void expectEarlierHoldersStarts(const ShardId& shard, TimePoint now)
  {
    m_pool.expectEarlierHoldersStarts(shard, now);
  }
  /// Releases a shard. Its jobs end as `JobOutcome::Moved` and continue under
  /// the next holder.
  void releaseShard(const ShardId& shard, TimePoint now);
  bool holds(const ShardId& shard) const { return m_pool.holds(shard); }

  /// Sets the free slots of a shard as its holder, another daemon, last
  /// advertised them. Ignored for a zone that is being evacuated.
  void setPeerSlots(const VmId& vm, const ShardId& shard, unsigned slots)
  {
    if (!m_pool.isEvacuated(shard.zone()))
      m_peerSlots.set(vm, shard, slots);
  }
  /// Removes the free slots that another daemon has advertised.
  void forgetPeer(const VmId& vm) { m_peerSlots.forget(vm); }
  /// Adds a start of unknown outcome that another holder has announced.
  void addUnresolvedStart(const UnresolvedStart& start)
  {
    m_unresolved.add(start);
  }
  /// Returns all known starts of unknown outcome, including those that other
  /// holders have announced.
  const UnresolvedStarts& unresolvedStarts() const { return m_unresolved; }

  /// Handles a worker's answer to a hold order, which renews the worker's lease
  /// and requests a report of its runs, or the lack of an answer.
  void leaseOrderAnswered(const WorkerId& worker,
                          const SentLeaseOrder& sent,
                          const LeaseOrderAnswer& answer,
                          TimePoint now);
  /// Handles a worker's answer to the start of a run, or the lack of one.
  void startAnswered(const WorkerId& worker,
                     const RunKey& key,
                     const OrderAnswer& answer,
                     TimePoint now);
  /// Handles a worker's answer to the stop of a run, or the lack of one.
  void stopAnswered(const WorkerId& worker,
                    const RunKey& key,
                    const OrderAnswer& answer,
                    TimePoint now);
  /// Called after the process was paused: cancels all jobs of other daemons, as
  /// these have given this daemon up, and starts nothing before `resume`.
  void suspend(TimePoint now);
  /// Starts waiting tasks again after `suspend`.
  void resume(TimePoint now);
  /// Handles what is due by now, such as expired leases, passed deadlines and
  /// stalled runs. Must be called regularly, about every 20 ms.
  void tick(TimePoint now);

  /// Returns the number of free slots of a shard for tasks of the usual size,
  /// less the tasks that already wait for them.
  unsigned spareSlots(const ShardId& shard, TimePoint now) const;
  /// Returns how long a job would wait for its slots if it arrived now.
  Duration expectedWait(const Job& job, TimePoint now) const;
  std::size_t jobCount() const { return m_jobs.size(); }
  /// Returns the daemons that have submitted the present jobs.
  std::set<VmId> submitters() const;
  /// Returns the ids of a submitter's jobs.
  IdList jobsOf(const VmId& submitter) const;
  /// Returns how often tasks were started again, by cause.
  const LossLog::Counts& restartCounts() const
  {
    return m_lossLog.restartCounts();
  }
  std::size_t waitingTasks() const { return m_queue.waitingTasks(); }
  const WorkerPool& pool() const { return m_pool; }

private:
  /// The task that a run belongs to.
  struct RunOwner
  {
    Job* job = nullptr;
    std::size_t task = 0;
  };

  WorkerPool::Hooks poolHooks();
  void quarantineRunsOn(Job& job, const ShardId& shard);
  std::optional<TimePoint> runWantedUntil(const RunKey& key) const;
  Duration contactAge(const Job& job, TimePoint now) const;
  bool mayStart(const Job& job, TimePoint now) const;
  bool hasLostContact(const Job& job, TimePoint now) const;
  bool adoptRun(Job& job, std::size_t position, TimePoint now);
  void adoptOrQuarantineRuns(Job& job, TimePoint now);
  bool mustRefuse(const Job& job, TimePoint now) const;
  Duration runTimeOf(const Job& job, TimePoint now) const;
  JobEnd refusedEnd(const Job& job, TimePoint now) const;
  void enqueueTask(Job& job, JobTask& task);
  void dequeueTask(Job& job, JobTask& task, TaskState state);
  /// Starts waiting tasks in the order of the queue, and returns tasks for
  /// which another holder has room or whose zone is being evacuated.
  void dispatch(TimePoint now);
  bool canServeAny(std::int64_t room) const;
  std::int64_t roomForOneTask() const;
  bool serve(Job& job, std::int64_t room, TimePoint now);
  void dispatchJob(Job& job, TimePoint now);
  /// Tries to start a task. Returns false if no worker can take the job's tasks
  /// now.
  bool startTask(Job& job, std::size_t position, TimePoint now);
  WorkerConstraints constraintsOf(
    const Job& job,
    const JobTask& task,
    const std::optional<UnresolvedStarts::Binding>& binding) const;
  void adoptUnresolvedStart(Job& job, std::size_t position, TimePoint now);
  void returnTasks(Job& job);
  void returnEvacuatedTasks(Job& job);
  bool isReturnable(const Job& job, const JobTask& task) const;
  void returnTasks(Job& job, const TasksReturned& returned);
  bool isEvacuated(const Job& job) const
  {
    return m_pool.isEvacuated(job.request.shard.zone());
  }
  void recordTaskSize(const Resources& resources);
  std::optional<PeerSlots::Offer> peerOfferFor(const Job& job) const;
  bool reattachJob(const JobRequest& request);
  void taskDone(Job& job, JobTask& task);
  void taskFailed(Job& job, JobTask& task);
  void taskCrashed(Job& job, JobTask& task);
  void runEnded(const WorkerId& worker, const RunKey& key, RunEnd end);
  void startRejected(const WorkerId& worker,
                     const RunKey& key,
                     OrderFailure failure);
  void unresolvedStartFound(const UnresolvedStart& start);
  void recordUnansweredStart(const WorkerId& worker, const RunKey& key);
  bool mayResend(const RunKey& key) const;
  void announceUnresolvedStart(const UnresolvedStart& start);
  void runProgressed(const WorkerId& worker, const RunKey& key, int percent);
  /// Records the run time of a completed task, and how slow its worker was.
  void recordRunTime(const Job& job,
                     const JobTask& task,
                     const WorkerId& worker);
  void cancel(const JobKey& key, StopCause cause);
  /// Stops the runs of a job, if it has any, removes it and reports its end.
  void finish(Job& job, const JobEnd& end, StopCause cause);
  /// Stops the runs of a job and removes it.
  void removeJob(Job& job, StopCause cause);
  void stopRun(const Job& job, const JobTask& task, StopCause cause);
  void startStopped(const RunKey& key, StopCause cause);
  void tickJobs(TimePoint now);
  void tickJob(Job& job, TimePoint now);
  void returnJob(Job& job, TimePoint now);
  std::optional<TimePoint> unresolvedUntil(const Job& job) const;
  void quarantine(Job& job, JobTask& task, TimePoint now);
  bool updateQuarantine(Job& job, TimePoint now);
  bool isEarlierRunOver(const Job& job, const JobTask& task) const;
  RestartCause restartCauseOf(const Job& job,
                              const JobTask& task,
                              TimePoint now) const;
  void stopStalledRuns(Job& job, TimePoint now);
  bool isStalled(const Job& job, const JobTask& task, TimePoint now) const;

  const VmId m_self;
  const Settings m_settings;
  const Hooks m_hooks;
  WorkerPool m_pool;
  RunTimes m_runTimes;
  std::map<JobKey, std::unique_ptr<Job>> m_jobs;
  JobQueue m_queue;
  /// The workers that a dispatch chooses among; empty otherwise.
  WorkerPool::Candidates m_candidates;
  AdmittedLoad m_admittedLoad;
  std::map<RunKey, RunOwner> m_runs;
  UnresolvedStarts m_unresolved;
  PeerSlots m_peerSlots;
  LossLog m_lossLog;
  /// Tasks whose orphaned run was reported done when no job had asked for them,
  /// with the time of the report.
  std::unordered_map<std::string, TimePoint> m_finishedOrphans;
  /// Moving mean of the CPU that a task needs, in thousandths of a core.
  double m_meanCpuMillis = 0;
  bool m_isSuspended = false;
  bool m_isDispatching = false;
  TimePoint m_now{};
};

} // namespace cowslippin
