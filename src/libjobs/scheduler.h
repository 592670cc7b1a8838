#pragma once

#include "admittedload.h"
#include "job.h"
#include "jobend.h"
#include "jobqueue.h"
#include "losslog.h"
#include "peerplaces.h"
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

/// Gets jobs done on the workers of the shards that this daemon holds. Jobs
/// wait in one queue, the one that must start soonest first; what finds no room
/// here is returned to be handed to a holder that has some. It does no input or
/// output and reads no clock.
class Scheduler
{
public:
  struct Settings
  {
    WorkerPool::Settings pool;
    /// A job that has to wait so long that it takes more than this many times
    /// its ideal time is refused at once.
    double refusalFactor = 1.25;
    /// Up to this many times the ideal response time an answer has some worth.
    double worthlessFactor = 3;
    /// Share of the workers' capacity that can be used, as tasks don't fill
    /// workers exactly: 13.6 of 16 cores with two tasks of 6.8.
    double usableShare = 0.82;
    /// How long the runs of a submitter that can't be reached go on. With the
    /// time that a stop takes it is well below the 1,300 ms after which a
    /// caller submits again.
    Duration detachedLimit = std::chrono::milliseconds(200);
    /// The same when it has been silent for the silence limit between daemons,
    /// 450 ms: with the lease of a worker that can't be reached either, the sum
    /// is 450 + 50 + 765 = 1,265 ms.
    Duration silentDetachedLimit = std::chrono::milliseconds(50);
    /// A run is stopped and started elsewhere when it has made no progress for
    /// this many times its expected time and `stallMargin`.
    double stallFactor = 2.0;
    Duration stallMargin = std::chrono::milliseconds(150);
    unsigned maxRestarts = 3;
    /// A task with which so many workers were lost runs on a worker of its own:
    /// it may be what ends them.
    unsigned suspectCrashes = 2;
    /// A task with which so many workers were lost is given up, and its job
    /// has failed.
    unsigned mostCrashes = 3;
    /// A job whose submitter was heard so long ago is given back to it: what
    /// comes from there is late.
    Duration contactLimit = std::chrono::milliseconds(850);
    /// Nothing is started for a submitter that was heard so long ago. A run
    /// has at least the lease that its worker has by then, as leases are never
    /// shortened: together they make up `wantedRunLimit`.
    Duration startContactLimit = std::chrono::milliseconds(490);
    /// How long ends that nobody asked for are kept for who may ask.
    Duration strayEndsKept = std::chrono::seconds(2);
  };

  /// None may be empty.
  struct Hooks
  {
    WorkerOrders orders;
    /// Tells the submitter. Nothing more comes of this job.
    std::function<void(const JobKey&, const JobEnd&)> ended;
    /// Returns tasks to the submitter, with where to hand them.
    std::function<void(const JobKey&, const TasksReturned&)> returned;
    /// See `WorkerPool`.
    std::function<FencingToken(unsigned refusals)> higherToken;
    /// Other holders are to know of this start, as its job may come to them.
    std::function<void(const UnresolvedStart&)> startUnresolved;
    /// A worker of a held shard was taken by another daemon.
    std::function<void(const ShardId&)> fenced;
    /// When a submitter, this daemon included, was surely alive and knew which
    /// of its callers were there, by this daemon's clock. Long ago if that was
    /// never heard.
    std::function<TimePoint(const VmId&)> lastContact;
    /// Until when a submitter has been told which workers are held here, by
    /// this daemon's clock; always this daemon itself.
    std::function<TimePoint(const VmId&)> toldUntil;
  };

  Scheduler(VmId self, Settings settings, Hooks hooks);

  void submit(JobRequest request, TimePoint now);
  /// The caller is gone: whatever runs is stopped, and no end is told.
  void cancel(const JobKey& key, TimePoint now);
  /// The other daemons have been told of a job.
  void keep(const JobKey& key, TimePoint now);
  /// A daemon can't be reached: its jobs end soon unless it submits them again.
  void daemonLost(const VmId& vm, bool wasSilent, TimePoint now);
  /// A submitter that had not been heard for a while has been.
  void contactRenewed(TimePoint now);

  /// See `WorkerPool`.
  void setList(const WorkerList& list, TimePoint now);
  /// The availability zones on whose workers nothing may be started. What waits
  /// there goes back to its submitters at once.
  void setEvacuated(const std::set<ZoneName>& zones, TimePoint now);
  bool isEvacuated(const ZoneName& zone) const
  {
    return m_pool.isEvacuated(zone);
  }
  std::set<ShardId> shards() const { return m_pool.shards(); }
  /// See `ShardMap`.
  void setBounds(const std::map<ZoneName, std::size_t>& bounds)
  {
    m_pool.setBounds(bounds);
  }
  /// See `ShardMap`. If it is true, `shards` are others.
  bool adoptDivision(const ShardId& shard)
  {
    return m_pool.adoptDivision(shard);
  }
  ShardId presentShard(const ShardId& shard) const
  {
    return m_pool.presentShard(shard);
  }
  void takeShard(const ShardId& shard, FencingToken token, TimePoint now);
  ShardDigest digest(const ShardId& shard) const
  {
    return m_pool.digest(shard);
  }
  /// The listed workers of a shard, held here or not.
  std::vector<WorkerRecord> workersOf(const ShardId& shard) const
  {
    return m_pool.workersOf(shard);
  }
  /// Gives a shard up; its jobs move on to the next holder.
  void releaseShard(const ShardId& shard, TimePoint now);
  bool holds(const ShardId& shard) const { return m_pool.holds(shard); }

  /// Places that another holder has on a shard, as it told last.
  void setPeerPlaces(const VmId& vm, const ShardId& shard, unsigned places)
  {
    if (!m_pool.isEvacuated(shard.zone()))
      m_peerPlaces.set(vm, shard, places);
  }
  void forgetPeer(const VmId& vm) { m_peerPlaces.forget(vm); }
  /// Another holder has told of this start.
  void addUnresolved(const UnresolvedStart& start) { m_unresolved.add(start); }
  /// All that are known, those that others have told of included.
  const UnresolvedStarts& unresolvedStarts() const { return m_unresolved; }

  void holdAnswered(const WorkerId& worker,
                    const SentHold& sent,
                    const HoldAnswer& answer,
                    TimePoint now);
  void startAnswered(const WorkerId& worker,
                     const RunKey& key,
                     const OrderAnswer& answer,
                     TimePoint now);
  void stopAnswered(const WorkerId& worker,
                    const RunKey& key,
                    const OrderAnswer& answer,
                    TimePoint now);
  /// After a pause of the process: ends every job of other daemons, which have
  /// given this one up, and starts nothing before `resume`.
  void suspend(TimePoint now);
  void resume(TimePoint now);
  void tick(TimePoint now);

  /// Free places of a shard for a task of the usual size, less what waits for
  /// them.
  unsigned sparePlaces(const ShardId& shard, TimePoint now) const;
  /// How long a job would wait for its places if it came now.
  Duration expectedWait(const Job& job, TimePoint now) const;
  std::size_t jobCount() const { return m_jobs.size(); }
  /// The daemons whose jobs these are.
  std::set<VmId> submitters() const;
  IdList jobsOf(const VmId& submitter) const;
  const LossLog::Counts& restarts() const { return m_losses.restarts(); }
  std::size_t waitingTasks() const { return m_queue.waitingTasks(); }
  const WorkerPool& pool() const { return m_pool; }

private:
  struct RunOwner
  {
    Job* job = nullptr;
    std::size_t task = 0;
  };

  WorkerPool::Hooks poolHooks();
  void leaveRunsBehind(Job& job, const ShardId& shard);
  std::optional<TimePoint> wantedUntil(const RunKey& key) const;
  Duration sinceContact(const Job& job, TimePoint now) const;
  bool mayStart(const Job& job, TimePoint now) const;
  bool hasLostContact(const Job& job, TimePoint now) const;
  bool adoptRun(Job& job, std::size_t position, TimePoint now);
  void findRuns(Job& job, TimePoint now);
  bool mustRefuse(const Job& job, TimePoint now) const;
  JobEnd refusal(const Job& job, TimePoint now) const;
  void setPending(Job& job, JobTask& task);
  void leavePending(Job& job, JobTask& task, TaskState state);
  void pump(TimePoint now);
  void pumpJob(Job& job, TimePoint now);
  bool startTask(Job& job, std::size_t position, TimePoint now);
  WorkerLimits limitsOf(
    const Job& job,
    const JobTask& task,
    const std::optional<UnresolvedStarts::Binding>& binding) const;
  void adoptPending(Job& job, std::size_t position, TimePoint now);
  void returnTasks(Job& job);
  void leaveEvacuated(Job& job);
  bool isFree(const Job& job, const JobTask& task) const;
  void returnTasks(Job& job, const TasksReturned& returned);
  bool isEvacuated(const Job& job) const
  {
    return m_pool.isEvacuated(job.request.shard.zone());
  }
  void noteSize(const Resources& resources);
  std::optional<PeerPlaces::Offer> offerFor(const Job& job) const;
  bool attach(const JobRequest& request);
  void taskDone(Job& job, JobTask& task);
  void taskFailed(Job& job, JobTask& task);
  void taskCrashed(Job& job, JobTask& task);
  void runEnded(const WorkerId& worker, const RunKey& key, RunEnd end);
  void startRejected(const WorkerId& worker,
                     const RunKey& key,
                     OrderFailure failure);
  void startUnresolved(const UnresolvedStart& start);
  void noteCopies(const WorkerId& worker, const RunKey& key);
  bool mayResend(const RunKey& key) const;
  void tellUnresolved(const UnresolvedStart& start);
  void runActive(const WorkerId& worker, const RunKey& key, int percent);
  void learn(const Job& job, const JobTask& task, const WorkerId& worker);
  void finish(Job& job, const JobEnd& end);
  /// Ends what a job has under way and forgets it.
  void drop(Job& job);
  void tickJobs(TimePoint now);
  void tickJob(Job& job, TimePoint now);
  void giveBack(Job& job, TimePoint now);
  std::optional<TimePoint> unresolvedUntil(const Job& job) const;
  void quarantine(Job& job, JobTask& task, TimePoint now);
  bool endQuarantine(Job& job, TimePoint now);
  bool isSurelyOver(const Job& job, const JobTask& task) const;
  RestartCause causeToRestart(const Job& job,
                              const JobTask& task,
                              TimePoint now) const;
  void checkProgress(Job& job, TimePoint now);
  bool isStalled(const Job& job, const JobTask& task, TimePoint now) const;

  const VmId m_self;
  const Settings m_settings;
  const Hooks m_hooks;
  WorkerPool m_pool;
  RunTimes m_runTimes;
  std::map<JobKey, std::unique_ptr<Job>> m_jobs;
  JobQueue m_queue;
  AdmittedLoad m_load;
  std::map<RunKey, RunOwner> m_runs;
  UnresolvedStarts m_unresolved;
  PeerPlaces m_peerPlaces;
  LossLog m_losses;
  /// Tasks that were found done without a job that had asked.
  std::unordered_map<std::string, TimePoint> m_strayDone;
  /// Moving mean of what a task needs.
  double m_usualCpuMillis = 0;
  bool m_isSuspended = false;
  bool m_isPumping = false;
  TimePoint m_now{};
};

} // namespace cowslippin
