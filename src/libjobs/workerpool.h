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

/// What limits the choice of a worker for a task.
struct WorkerLimits
{
  /// Taken only if no other has room.
  std::set<WorkerId> avoided;
  /// Runs of the job on each worker, if their number is limited.
  std::map<WorkerId, unsigned> perWorker;
  /// Whether only one that runs nothing will do.
  bool mustBeIdle = false;
  /// None is taken that has come later: the submitter doesn't know of it, and
  /// would not miss it among the workers of the next holder.
  TimePoint toldUntil{};
  /// The only one that may be taken, and only right after a prompt report: it
  /// may still carry out an earlier start of the task, which another worker
  /// would run at the same time.
  std::optional<WorkerId> boundTo = std::nullopt;
  /// None is taken whose lease lasts longer: leases are never shortened, and a
  /// run has that of its worker.
  TimePoint leasedUntil = TimePoint::max();
};

/// The workers of the shards that this daemon holds: their leases, how well
/// they work, and the choice among them.
class WorkerPool
{
public:
  struct Settings
  {
    WorkerLease::Settings lease;
    WorkerHealth::Settings health;
    AnswerTimes::Settings answers;
    /// The wait before a worker that another daemon took, though that daemon
    /// doesn't hold the shard, is taken back.
    Duration reclaimAfter = std::chrono::milliseconds(300);
    /// The wait doubles with every time up to this.
    Duration reclaimAfterMax = std::chrono::milliseconds(1500);
  };

  /// None may be empty. Called from within the pool's functions. They may call
  /// `start` and `stop`, but not what adds or drops workers.
  struct Hooks
  {
    WorkerOrders orders;
    std::function<void(const WorkerId&, const RunKey&, RunEnd)> runEnded;
    std::function<void(const WorkerId&, const RunKey&, OrderFailure)>
      startRejected;
    /// See `WorkerLease`.
    std::function<void(const WorkerId&, const RunKey&, TimePoint until)>
      startUnresolved;
    /// See `WorkerLease`.
    std::function<bool(const RunKey&)> mayResend;
    std::function<void(const WorkerId&, const RunKey&, int percent)> runActive;
    std::function<void(const WorkerId&, const RunKey&, RunEnd)> strayEnded;
    /// A worker was taken from a shard that this daemon holds.
    std::function<void(const ShardId&)> fenced;
    /// A token that is higher than any known one. Told how often in a row a
    /// worker has refused ours; then it is higher by a margin, as somebody has
    /// one that isn't known here.
    std::function<FencingToken(unsigned refusals)> higherToken;
    /// See `WorkerLease`.
    std::function<std::optional<TimePoint>(const RunKey&)> wantedUntil;
  };

  WorkerPool(Settings settings, Hooks hooks);

  /// Takes the platform's list; workers that have come to a held shard are
  /// claimed, those that are gone are dropped once they run nothing. The
  /// workers may be divided into other shards then: held shards that are no
  /// longer among `shards` have to be released.
  void setList(const WorkerList& list, TimePoint now);
  std::set<ShardId> shards() const { return m_map.shards(); }
  /// See `ShardMap`.
  void setBounds(const std::map<ZoneName, std::size_t>& bounds)
  {
    m_map.setBounds(bounds);
  }
  /// See `ShardMap`.
  bool adoptDivision(const ShardId& shard) { return m_map.adopt(shard); }
  ShardId presentShard(const ShardId& shard) const
  {
    return m_map.present(shard);
  }

  /// The availability zones on whose workers nothing may be started.
  void setEvacuated(std::set<ZoneName> zones)
  {
    m_evacuated = std::move(zones);
  }
  bool isEvacuated(const ZoneName& zone) const
  {
    return m_evacuated.count(zone) > 0;
  }

  void takeShard(const ShardId& shard, FencingToken token, TimePoint now);
  /// Of a held shard: the workers on which something may run, which are those
  /// of its leases, listed or not. Of another shard: its listed workers.
  ShardDigest digest(const ShardId& shard) const;
  /// The listed workers of a shard, held here or not.
  std::vector<WorkerRecord> workersOf(const ShardId& shard) const;
  /// Forgets the shard's workers; what runs there goes on under the next
  /// holder.
  void releaseShard(const ShardId& shard);
  bool holds(const ShardId& shard) const { return m_shards.count(shard) > 0; }
  /// Whether everything that may run on the workers of a held shard is known:
  /// all have answered what they were asked `since` then or later, and they are
  /// the same that the last holder had.
  bool isFullyClaimed(const ShardId& shard,
                      ShardDigest lastHoldersWorkers,
                      TimePoint since) const;
  /// Whether everything that may run on this worker is known: it has answered
  /// what it was asked `since` then or later.
  bool isClaimed(const WorkerId& worker, TimePoint since) const;

  /// The worker that a task should go to, or nothing if none has room. The
  /// fullest that still fits is taken, so that large tasks find room.
  std::optional<WorkerId> choose(const JobRequest& request,
                                 const WorkerLimits& limits,
                                 TimePoint now) const;
  /// Whether the worker can be reached and may run such a task once it has
  /// room.
  bool isInUse(const WorkerId& worker, const JobRequest& request) const;

  /// Whether a worker of any size could ever run such a task, going by the
  /// whole list less the evacuated zones.
  bool canEverRun(const JobRequest& request) const;

  void start(const WorkerId& worker,
             const RunKey& key,
             const Resources& resources,
             const std::string& spec,
             TimePoint now);
  /// Starts nothing beside this run until it is over.
  void reserve(const WorkerId& worker, const RunKey& key);
  /// Whether the worker has started again or another one is at its address, so
  /// that what ran there was lost with it. One that is silent may be cut off.
  bool isLifeOver(const WorkerId& worker) const;
  void stop(const WorkerId& worker, const RunKey& key, TimePoint now);
  /// Asks a held worker at once what runs there.
  void refresh(const WorkerId& worker, TimePoint now);
  /// Requests a report from each worker that has room for such a task but needs
  /// a recent report before the task can safely start there. False if there is
  /// none.
  bool refreshForStart(const JobRequest& request,
                       const WorkerLimits& limits,
                       TimePoint now);
  /// See `WorkerLease`.
  std::optional<TimePoint> unansweredUntil(const WorkerId& worker,
                                           const RunKey& key) const;
  /// Starts on the workers of a held shard that may still be carried out.
  std::vector<std::pair<WorkerId, UnansweredStart>> unansweredStarts(
    const ShardId& shard) const;
  /// Takes a run that nobody has asked for into the book of its worker. Only
  /// what the worker has told when it was asked `since` then or later counts:
  /// before that, other holders may have ended the run and begun another.
  std::optional<std::pair<WorkerId, RunKey>> adopt(const std::string& task,
                                                   const Resources& resources,
                                                   TimePoint since);
  /// Renews the lease of a worker whose last stray run was adopted.
  void renewAdopted(const WorkerId& worker, TimePoint now);
  /// Whether a task of this name runs, or may run, on a held worker.
  bool isRunning(const std::string& task) const
  {
    return workerOf(task).has_value();
  }
  /// The held worker on which a task of this name runs, or may run; an empty
  /// id if there are several.
  std::optional<WorkerId> workerOf(const std::string& task) const;

  /// Whether the worker is held for this shard; also true of an empty id, which
  /// may be any.
  bool isOfShard(const WorkerId& worker, const ShardId& shard) const;

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
  void runWasSlow(const WorkerId& worker, double slowness, TimePoint now);
  void runFailed(const WorkerId& worker, TimePoint now);
  void workerStalled(const WorkerId& worker, TimePoint now);
  void tick(TimePoint now);

  /// Tasks of this size that could be started now.
  unsigned freePlaces(const ShardId& shard,
                      std::int64_t cpuMillis,
                      TimePoint now) const;
  /// All that the usable workers of a shard have, used or free.
  std::int64_t totalCpuMillis(const ShardId& shard, TimePoint now) const;
  /// The largest free room on any one worker.
  std::int64_t largestFreeCpuMillis() const;

  struct WorkerView
  {
    WorkerId id;
    LeaseState state = LeaseState::Claiming;
    std::size_t runs = 0;
    double slowness = 1;
    double failureShare = 0;
  };
  std::vector<WorkerView> view() const;

private:
  struct Entry
  {
    ShardId shard;
    TimePoint addedAt{};
    std::unique_ptr<WorkerLease> lease;
    WorkerHealth health;
    bool isListed = true;
    /// A task beside which nothing is started while it runs here.
    std::string reservedFor;
    /// When a tick first saw that another daemon had taken it.
    std::optional<TimePoint> fencedAt;
    Duration reclaimWait = Duration::zero();
    /// Since it was last held.
    unsigned refusals = 0;

    explicit Entry(const WorkerHealth::Settings& settings)
      : health(settings)
    {
    }
  };
  using Entries = std::map<WorkerId, Entry>;

  /// Null if the worker isn't one of a held shard, or no longer.
  Entry* find(const WorkerId& worker);
  void addWorker(const WorkerRecord& record, TimePoint now);
  WorkerLease::Hooks leaseHooks(const WorkerId& id);
  void claimRestarted(const WorkerId& id, Entry& entry, TimePoint now);
  void dropUnlisted();
  void noteCapacities();
  void reclaim(TimePoint now);
  /// Whether a task of this size can be started there now.
  bool canStart(const Entry& entry, const Resources& resources) const;
  /// Whether the worker, in its present life, can run such a task and has free
  /// room for it.
  bool isEligible(const Entry& entry,
                  const JobRequest& request,
                  TimePoint now) const;
  /// Whether the limits leave the worker, whatever it would report.
  static bool isAllowed(const WorkerId& id,
                        const Entry& entry,
                        const WorkerLimits& limits);
  /// Whether the worker is eligible and would stay within its capacity even
  /// after an undetected restart.
  bool isSuitable(const Entry& entry,
                  const JobRequest& request,
                  const WorkerLimits& limits,
                  TimePoint now) const;

  const Settings m_settings;
  const Hooks m_hooks;
  const std::shared_ptr<AnswerTimes> m_answerTimes;
  WorkerList m_list;
  ShardMap m_map;
  std::map<ShardId, FencingToken> m_shards;
  std::set<ZoneName> m_evacuated;
  /// The most that each listed worker has said to have: one that is smaller for
  /// a while may grow again.
  std::map<WorkerId, Resources> m_fullCapacity;
  Entries m_entries;
};

} // namespace cowslippin
