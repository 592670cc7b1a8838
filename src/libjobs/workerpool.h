#pragma once

#include "jobrequest.h"
#include "libcore/shardid.h"
#include "shardmap.h"
#include "workerorders.h"

#include "libworkers/workers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippin {

/// Constraints on the choice of a worker for a task.
struct WorkerConstraints
{
  /// Workers that are chosen only if no other worker has room.
  std::set<WorkerId> avoidedWorkers;
  /// The limit on the tasks of the job on one worker.
  SpreadLimit spread;
  /// Whether only a worker without any runs may be chosen.
  bool mustBeIdle = false;
  /// Workers added after this time are not chosen: the submitter doesn't know
  /// them and would not notice that they are missing among the workers of the
  /// next holder.
  TimePoint advertisedUntil{};
  /// The only worker that may be chosen, and only right after a prompt report.
  /// It may still carry out an earlier start of the task, which would run at
  /// the same time as one on another worker.
  std::optional<WorkerId> requiredWorker = std::nullopt;
  /// Workers whose lease lasts longer are not chosen: leases are never
  /// shortened, and a run lasts as long as the lease of its worker.
  TimePoint maxLeaseEnd = TimePoint::max();
};

/// The workers of the shards that this daemon holds: their leases, their
/// health, and the choice among them.
class WorkerPool
{
  struct Entry;

public:
  struct Settings
  {
    WorkerLease::Settings lease;
    WorkerHealth::Settings health;
    OrderTimeouts::Settings answers;
    /// How long to wait before claiming back a worker that another daemon has
    /// claimed although that daemon doesn't hold the shard.
    Duration reclaimDelay = std::chrono::milliseconds(300);
    /// The wait doubles with each attempt up to this maximum.
    Duration maxReclaimDelay = std::chrono::milliseconds(1500);
    /// How long a worker is given no task after a start that couldn't be sent
    /// to it or that it has refused for its own state. Without the delay, the
    /// next one would fail at once as well.
    Duration startRetryDelay = std::chrono::milliseconds(90);
  };

  /// All hooks must be set. They are called from within the pool's functions.
  /// They may call `start` and `stop`, but nothing that adds or removes
  /// workers.
  struct Hooks
  {
    WorkerOrders orders;
    std::function<void(const WorkerId&, const RunKey&, RunEnd)> runEnded;
    std::function<void(const WorkerId&, const RunKey&, OrderFailure)>
      startRejected;
    /// See `WorkerLease::Hooks::unresolvedStartFound`.
    std::function<void(const WorkerId&, const RunKey&, TimePoint until)>
      unresolvedStartFound;
    /// See `WorkerLease::Hooks::startStopped`.
    std::function<void(const RunKey&, StopCause)> startStopped;
    /// See `WorkerLease::Hooks::mayResend`.
    std::function<bool(const RunKey&)> mayResend;
    std::function<void(const WorkerId&, const RunKey&, int percent)>
      runProgressed;
    std::function<void(const WorkerId&, const RunKey&, RunEnd)> orphanEnded;
    /// Another daemon has claimed a worker of a shard held here.
    std::function<void(const ShardId&)> workerFenced;
    /// Returns a fencing token higher than any known one. `refusals` is how
    /// often in a row a worker has refused this daemon's tokens. If there were
    /// any, the token is higher by a margin, as another daemon has one that
    /// isn't known here.
    std::function<FencingToken(unsigned refusals)> higherToken;
    /// See `WorkerLease::Hooks::runWantedUntil`.
    std::function<std::optional<TimePoint>(const RunKey&)> runWantedUntil;
  };

  WorkerPool(Settings settings, Hooks hooks);

  /// Sets the platform's list of workers. Workers added to a held shard are
  /// claimed; workers that are no longer listed are removed once they have no
  /// runs. The list may change the division into shards: held shards that are
  /// no longer in `shards` must then be released.
  void setWorkers(const WorkerList& list, TimePoint now);
  std::set<ShardId> shards() const { return m_map.shards(); }
  /// Sets the maximum number of workers per shard in each zone.
  void setMaxShardSizes(const std::map<ZoneName, std::size_t>& bounds)
  {
    m_map.setMaxShardSizes(bounds);
  }
  /// Sets how late the event loop reads what has arrived, see `OrderTimeouts`.
  void setLoopLag(Duration lag) { m_answerTimes->setLoopLag(lag); }
  /// See `ShardMap::adoptShardCount`.
  bool adoptShardCount(const ShardId& shard)
  {
    return m_map.adoptShardCount(shard);
  }
  /// See `ShardMap::currentShard`.
  ShardId currentShard(const ShardId& shard) const
  {
    return m_map.currentShard(shard);
  }

  /// Sets the availability zones on whose workers nothing may be started.
  void setEvacuatedZones(std::set<ZoneName> zones)
  {
    m_evacuated = std::move(zones);
  }
  bool isEvacuated(const ZoneName& zone) const
  {
    return m_evacuated.count(zone) > 0;
  }
  bool isAnyZoneEvacuated() const { return !m_evacuated.empty(); }

  /// Claims the listed workers of a shard with this fencing token.
  void takeShard(const ShardId& shard, FencingToken token, TimePoint now);
  /// Returns the digest of a shard's workers. In a held shard these are all
  /// workers with a lease, listed or not, as runs may be in progress on them;
  /// in another shard they are the listed workers.
  ShardDigest workersDigest(const ShardId& shard) const;
  /// Returns the listed workers of a shard, whether or not it is held here.
  std::vector<WorkerRecord> workersOf(const ShardId& shard) const;
  /// Returns for each worker of a held shard whose lease is held until when
  /// late starts may be carried out, see `WorkerLease::lateStartsUntil`.
  std::map<WorkerId, TimePoint> lateStartsUntil(const ShardId& shard) const;
  /// See `WorkerLease::limitEarlierHoldersStarts`. Workers of other shards are
  /// ignored.
  void limitEarlierHoldersStarts(
    const ShardId& shard,
    FencingToken claimedWith,
    const std::map<WorkerId, TimePoint>& lateStartsUntil);
  /// See `WorkerLease::expectEarlierHoldersStarts`.
  void expectEarlierHoldersStarts(const ShardId& shard, TimePoint now);
  /// Removes the shard and its workers. Their runs go on under the next holder.
  void releaseShard(const ShardId& shard);
  bool holds(const ShardId& shard) const { return m_shards.count(shard) > 0; }
  /// Whether all runs that may be in progress on the workers of a held shard
  /// are known: all workers have answered a request for a report made at
  /// `since` or later, and they are the workers that the previous holder had.
  bool hasShardReported(const ShardId& shard,
                        ShardDigest previousHolderDigest,
                        TimePoint since) const;
  /// Whether all runs that may be in progress on this worker are known: it has
  /// answered a request for a report made at `since` or later.
  bool hasWorkerReported(const WorkerId& worker, TimePoint since) const;

  /// The workers on which something could be started at a certain time, if it
  /// is small enough. They are valid until workers are added or removed.
  class Candidates
  {
    friend class WorkerPool;

    std::vector<std::pair<const WorkerId, Entry>*> m_workers;
  };

  /// Returns the workers that the choice for any task is among. Starts may be
  /// made while they are used; after an adoption they have to be determined
  /// anew.
  Candidates candidates(TimePoint now);
  /// Returns the largest free capacity on any of the workers.
  static std::int64_t largestFreeCpuMillis(const Candidates& candidates);

  /// The worker for a task.
  struct Choice
  {
    /// Nothing if no worker can take the task now. A report was then requested
    /// from each worker that has room for it but needs a recent report before
    /// the task can safely start there.
    std::optional<WorkerId> worker;
    /// Whether there is such a worker.
    bool awaitsReport = false;
  };

  /// Chooses the worker for a task. Prefers the faster ones of those that have
  /// room, and among workers of the same speed the fullest, which keeps room
  /// for large tasks.
  Choice choose(const Candidates& candidates,
                const JobRequest& request,
                const WorkerConstraints& constraints,
                TimePoint now);
  /// Whether the worker can be reached and may run such a task once it has
  /// room.
  bool isAvailableFor(const WorkerId& worker, const JobRequest& request) const;

  /// Whether any listed worker outside the evacuated zones is large enough for
  /// such a task.
  bool canEverRun(const JobRequest& request) const;

  void start(const WorkerId& worker,
             const RunKey& key,
             const Resources& resources,
             const std::string& spec,
             TimePoint now);
  /// Returns the fencing token of the lease on a worker of a held shard.
  FencingToken tokenOf(const WorkerId& worker) const
  {
    return m_entries.at(worker).lease->token();
  }
  /// Starts nothing else on the worker until this run is over.
  void reserveForRun(const WorkerId& worker, const RunKey& key);
  /// Whether the worker has restarted, or another worker has its address, so
  /// that its runs were lost. A silent worker may only be unreachable.
  bool isIncarnationOver(const WorkerId& worker) const;
  /// See `WorkerLease::stop`.
  bool stop(const WorkerId& worker, const RunKey& key, TimePoint now);
  /// See `WorkerLease::fenceUnlistedStarts`.
  void fenceUnlistedStarts(const WorkerId& worker,
                           const RunKey& key,
                           TimePoint now);
  /// Requests a report from a held worker at once.
  void requestReport(const WorkerId& worker, TimePoint now);
  /// See `WorkerLease::unansweredStartExpiry`.
  std::optional<TimePoint> unansweredStartExpiry(const WorkerId& worker,
                                                 const RunKey& key) const;
  /// Returns the starts on workers of a held shard that may still be carried
  /// out.
  std::vector<std::pair<WorkerId, UnansweredStart>> unansweredStarts(
    const ShardId& shard) const;
  /// Adopts an orphaned run of the task: its worker's lease counts it as a run
  /// of this daemon from then on. Only a report requested at `since` or later
  /// counts, because before that time other holders may have ended the run and
  /// begun another.
  std::optional<std::pair<WorkerId, RunKey>> adopt(const std::string& task,
                                                   const Resources& resources,
                                                   TimePoint since);
  /// Renews the lease of a worker whose last orphaned run was adopted. Orphaned
  /// runs hold renewals up.
  void renewAfterAdoption(const WorkerId& worker, TimePoint now);
  /// Whether a run of the task is, or may be, in progress on a held worker.
  bool isRunning(const std::string& task) const
  {
    return workerOf(task).has_value();
  }
  /// Returns the held worker on which a run of the task is, or may be, in
  /// progress, or an empty id if there are several.
  std::optional<WorkerId> workerOf(const std::string& task) const;

  /// Whether the worker is held for this shard. Also true for an empty id,
  /// which may stand for any worker.
  bool belongsToShard(const WorkerId& worker, const ShardId& shard) const;

  void leaseOrderAnswered(const WorkerId& worker,
                          const SentLeaseOrder& sent,
                          const LeaseOrderAnswer& answer,
                          TimePoint now);
  void startAnswered(const WorkerId& worker,
                     const RunKey& key,
                     const OrderAnswer& answer,
                     TimePoint now);
  void stopAnswered(const WorkerId& worker,
                    const RunKey& key,
                    const OrderAnswer& answer,
                    TimePoint now);
  /// Records a completed run of a job that took `slowness` times the time that
  /// was expected.
  void recordSlowness(const WorkerId& worker,
                      const JobKey& job,
                      double slowness,
                      TimePoint now);
  void recordFailure(const WorkerId& worker, TimePoint now);
  void recordStall(const WorkerId& worker, TimePoint now);
  void tick(TimePoint now);

  /// Returns how many tasks of this size could be started now.
  unsigned freeSlots(const ShardId& shard,
                     std::int64_t cpuMillis,
                     TimePoint now) const;
  /// Returns how many tasks of a job could be started now on workers that may
  /// run them, within the limit on its tasks on one worker.
  unsigned freeSlots(const JobRequest& request, TimePoint now) const;
  /// Returns how many tasks of a job its shard can run at a time when nothing
  /// else runs there.
  unsigned maxParallelTasks(const JobRequest& request, TimePoint now) const;
  /// Returns the capacity of the usable workers of a shard, in use or free. The
  /// cores of a worker count by its speed.
  std::int64_t totalCpuMillis(const ShardId& shard, TimePoint now) const;
  /// Returns the largest free capacity on any one worker.
  std::int64_t largestFreeCpuMillis() const;

  struct WorkerView
  {
    WorkerId id;
    LeaseState state = LeaseState::Claiming;
    std::size_t runs = 0;
    double slowness = 1;
    SpeedClass speed = SpeedClass::Usual;
    double failureShare = 0;
  };
  std::vector<WorkerView> snapshot() const;
  const PresumedOverRuns& presumedOverRuns() const { return m_presumedOver; }

private:
  /// A worker under load completes as many runs within some 10 s.
  static constexpr unsigned speedSamples = 64;

  struct Entry
  {
    ShardId shard;
    TimePoint addedAt{};
    std::unique_ptr<WorkerLease> lease;
    WorkerHealth health;
    WorkerSpeed speed{ speedSamples };
    SpeedEstimate speedEstimate;
    /// The job of the last run that `speed` has recorded.
    JobKey speedSampledFrom;
    bool isListed = true;
    /// Nothing is started before, as a start has failed.
    TimePoint startsAllowedAt{};
    /// Name of the task beside which nothing is started while it runs here.
    std::string reservedFor;
    /// When a tick first found that another daemon has claimed the worker.
    std::optional<TimePoint> fencedAt;
    Duration reclaimWait = Duration::zero();
    /// Number of refused claims since the worker was last held.
    unsigned refusals = 0;

    explicit Entry(const WorkerHealth::Settings& settings)
      : health(settings)
    {
    }
  };
  using Entries = std::map<WorkerId, Entry>;

  /// Returns null if the worker isn't in a held shard, or no longer.
  Entry* find(const WorkerId& worker);
  void addWorker(const WorkerRecord& record, FencingToken token, TimePoint now);
  WorkerLease::Hooks leaseHooks(const WorkerId& id);
  void presumeOver(const WorkerId& id, const RunPresumedOver& note);
  /// Logs it if a run that a report lists was presumed over.
  void detectReappearance(const WorkerId& id,
                          const RunKey& key,
                          const char* state);
  void estimateSpeed(Entry& entry) const;
  void claimRestarted(const WorkerId& id, Entry& entry, TimePoint now);
  void removeUnlisted();
  void recordCapacities();
  void reclaim(TimePoint now);
  /// Whether neither the ends of the worker's runs nor a failed start are
  /// against a start now.
  static bool isUsable(const Entry& entry, TimePoint now);
  /// Whether a task of this size can be started on the worker now.
  bool canStart(const Entry& entry, const Resources& resources) const;
  /// Returns how many tasks of this size could be started on the worker now.
  std::int64_t freeSlots(const Entry& entry,
                         std::int64_t cpuMillis,
                         TimePoint now) const;
  /// Whether tasks may be started on the worker at all while it is held.
  bool isInService(const Entry& entry, TimePoint now) const;
  /// Whether the worker, in its present incarnation, can run such a task and
  /// has room for it.
  bool isEligible(const Entry& entry,
                  const JobRequest& request,
                  const WorkerConstraints& constraints,
                  TimePoint now) const;
  /// Whether the worker satisfies the constraints that no new report would
  /// change.
  static bool satisfiesConstraints(const WorkerId& id,
                                   const Entry& entry,
                                   const WorkerConstraints& constraints);
  /// Whether an eligible worker would stay within its capacity even after an
  /// undetected restart.
  static bool isSafe(const Entry& entry,
                     const JobRequest& request,
                     const WorkerConstraints& constraints,
                     TimePoint now);
  /// Whether nothing about the worker that a new report wouldn't change is
  /// against the task.
  static bool mayBeChosen(const Entry& entry,
                          const WorkerConstraints& constraints);

  const Settings m_settings;
  const Hooks m_hooks;
  const std::shared_ptr<OrderTimeouts> m_answerTimes;
  WorkerList m_list;
  ShardMap m_map;
  /// With the token that the next worker of the shard is claimed with.
  std::map<ShardId, FencingToken> m_shards;
  /// Listed workers at whose address another one was found. Orders of the lease
  /// that ended then may still be in transit, so that the next one gets a
  /// higher token. The others keep the shard's token, by which other daemons
  /// ask whether the shard is used.
  std::set<WorkerId> m_withLostOrders;
  std::set<ZoneName> m_evacuated;
  /// The largest capacity that each listed worker has reported. A worker whose
  /// capacity is reduced for a while may grow again.
  std::map<WorkerId, Resources> m_fullCapacity;
  SpeedReference m_speeds;
  Entries m_entries;
  PresumedOverRuns m_presumedOver;
  /// When the last answer to a lease order arrived.
  TimePoint m_answeredAt{};
};

} // namespace cowslippin
