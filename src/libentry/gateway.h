#pragma once

#include "holderchoice.h"
#include "jobregistrations.h"
#include "peerjobs.h"

#include "libjobs/jobs.h"
#include "libpeers/peermessage.h"

#include "libcore/core.h"
#include "libobserve/idlist.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippin {

/// A job as a caller submits it.
struct JobSubmission
{
  JobId job;
  QueuePolicy policy;
  TaskNeeds needs;
  std::string spec;
  std::string taskPrefix;
  unsigned taskCount = 0;
  /// How much longer the caller waits for the answer.
  Duration timeLeft = Duration::zero();
  /// Upper bound on how long the request waited in the socket before it was
  /// read.
  Duration maxReadDelay = Duration::zero();
  /// Upper bound on the time since the request was sent, where it may have been
  /// held up: all callers were silent before. It is how long the caller's
  /// connection had been open or idle. A middle box may hide a longer time.
  Duration maxAge = Duration::zero();
};

/// The answer to a caller.
struct JobAnswer
{
  enum class Kind
  {
    Completed,
    Failed,
    /// No task of the job has run or will run.
    NotRun,
    /// Tasks of the job may have run. All its runs are being stopped.
    Unknown,
  };

  Kind kind = Kind::Completed;
  /// When the caller may retry: always set for `NotRun`; zero for `Unknown` if
  /// there is no such time.
  Duration retryAfter = Duration::zero();
  std::string reason;
};

/// The jobs whose callers wait for an answer from this daemon. The gateway
/// submits each job to a holder, which is a daemon that leases the workers of a
/// shard, a part of the workers of an availability zone. When the holder is
/// lost, the gateway fails over to another one and makes sure that no task runs
/// twice at the same time. It does no I/O and reads no clock.
///
/// A caller whose connection breaks submits its job again 1,300 ms later, at
/// any daemon; this daemon may learn of the broken connection late or never. So
/// a job either ends before that time, or this daemon advertises it to its
/// peers as in progress here. A peer that receives the job again then recalls
/// it: it asks this daemon to stop the earlier submission.
class Gateway
{
public:
  struct Settings
  {
    /// A job that finds no reachable holder is refused after this share of its
    /// ideal response time.
    double holderWaitShare = 0.25;
    /// How many shards may refuse a job before it is refused to the caller.
    /// Shards whose holder advertises free slots are asked beyond this limit.
    /// The load is highest when jobs are refused: asking every one of many
    /// shards, at some 700 bytes each, took more of the network links than the
    /// jobs that were served.
    std::size_t maxShardsAsked = 4;
    /// How long orphaned runs of a lost daemon may go on.
    Duration maxOrphanedRun = cowslippin::maxOrphanedRun;
    /// Retry delay given to a caller whose job is refused because no daemon
    /// holds workers.
    Duration noHolderRetryAfter = std::chrono::milliseconds(500);
    /// Retry delay given to a caller while all zones are evacuated, which takes
    /// seconds at least.
    Duration evacuatedRetryAfter = std::chrono::seconds(2);
    /// Jobs that have been in progress for this long are advertised to the
    /// peers. Most jobs end earlier.
    Duration advertiseAfter = std::chrono::milliseconds(450);
    /// A job that can't be advertised to the peers ends this long before its
    /// caller may have submitted it again, because its holder has to be told to
    /// stop it.
    Duration unadvertisedMargin = std::chrono::milliseconds(90);
    /// A job of which no task was started is refused if it can't be advertised
    /// to the peers for this long.
    Duration advertiseLimit = std::chrono::milliseconds(500);
    /// A recall that gets no answer is repeated after this time, because it may
    /// have been lost with its connection.
    Duration recallRetryInterval = std::chrono::milliseconds(150);
    /// A submission that was read less than this ago has not been submitted
    /// again by its caller unless its request was held up on its way.
    Duration minResubmitAge = std::chrono::milliseconds(1250);
    /// In a partitioned group a job whose request may be older than this
    /// doesn't run: its caller may have submitted it again in another part.
    /// Callers wait longer than this before they do.
    Duration maxAgeInPartition = std::chrono::milliseconds(1000);
  };

  /// Functions of the daemon that the gateway calls. None may be empty.
  struct Hooks
  {
    /// Returns the reachable holder of a shard. If the shard has been divided
    /// into other shards since, returns the holder of one that has some of its
    /// workers.
    std::function<std::optional<HolderChoice>(const ShardId&)> currentHolder;
    /// Chooses a holder for a new job with this many tasks among the shards
    /// that haven't refused it. Prefers this daemon's zone while it has room,
    /// then free slots.
    std::function<std::optional<HolderChoice>(
      const std::set<ShardId>& refusedBy,
      std::size_t tasks)>
      bestHolder;
    /// Whether operators have evacuated the zones of all workers, so that
    /// waiting for a holder is pointless.
    std::function<bool()> areAllZonesEvacuated;
    /// The digest of a shard's workers as its holder last reported it, if it
    /// did.
    std::function<std::optional<ShardDigest>(const VmId&, const ShardId&)>
      workersDigest;
    /// Submits a job to a daemon, which may be this one. Returns false if that
    /// daemon can't be reached.
    std::function<bool(const VmId&, const JobRequest&)> submit;
    std::function<void(const VmId&, const JobKey&)> cancel;
    /// Tells a holder that the peers know where the job is in progress, so that
    /// the holder needn't stop it when `JobRequest::exclusiveFor` runs out.
    std::function<void(const VmId&, const JobKey&)> confirmAdvertised;
    /// The time, by this daemon's clock, of the newest `longRunningJobs`
    /// advertisement that has reached every daemon where callers may submit a
    /// job again.
    std::function<TimePoint()> advertisedUntil;
    /// Where a job that was read at the given time is in progress for a caller
    /// of another daemon, or was when that daemon was lost.
    std::function<std::optional<PeerJobs::Location>(const JobId&,
                                                    TimePoint readAt)>
      inProgressAt;
    /// Whether some daemons may be in another part of a partitioned group.
    std::function<bool()> mayBePartitioned;
    /// Registers a job in the group before it starts. `endedAt` are daemons
    /// that have reported that their runs of it have ended.
    /// `registrationAnswered` follows if the result is pending.
    std::function<JobRegistrations::Result(const JobId&,
                                           const std::set<VmId>& endedAt)>
      registerJob;
    /// Renews the registration of a job that is in progress here, or whose runs
    /// may still be stopping.
    std::function<void(const JobId&)> renewRegistration;
    /// Gives up a pending registration.
    std::function<void(const JobId&)> cancelRegistration;
    /// Recalls a job: asks a daemon to stop its earlier submission of that job.
    std::function<void(const VmId&, const PeerRecall&)> recall;
  };

  using AnswerCallback = std::function<void(const JobAnswer&)>;
  /// Identifies a waiting caller.
  using CallerId = std::uint64_t;

  /// `lastNumber` is the number before that of the first submission to a
  /// holder. Processes of one daemon need different ones, because holders may
  /// send a process messages about submissions of an earlier one.
  Gateway(VmId self,
          Settings settings,
          Hooks hooks,
          std::uint64_t lastNumber = 0);

  /// Adds a caller. If the job is already in progress here, the caller joins it
  /// and gets the same answer; no second job is started.
  CallerId submit(JobSubmission submission, AnswerCallback done, TimePoint now);
  /// The caller has disconnected before it was answered. The job is cancelled
  /// if no other caller waits for it.
  void callerDisconnected(CallerId callerId, TimePoint now);

  /// A holder reports how a job, or its part of one, has ended.
  void partEnded(const VmId& from,
                 const JobKey& key,
                 const JobEnd& end,
                 TimePoint now);
  /// A holder returns tasks for which it has no free slots. It may name
  /// another holder that has some.
  void tasksReturned(const VmId& from,
                     const JobKey& key,
                     const TasksReturned& returned,
                     TimePoint now);
  /// A daemon can no longer be reached. The parts that it had fail over.
  void peerLost(const VmId& vm, TimePoint now);
  /// The jobs to advertise to the peers: those that have been in progress for
  /// `advertiseAfter`, and abandoned ones whose runs may still be stopping.
  std::vector<LongRunningJob> longRunningJobs(TimePoint now) const;
  /// A peer advertises its own long-running jobs. If one is in progress here
  /// too and the peer's submission is the older one, it is recalled from the
  /// peer, because its caller has left that peer.
  void longRunningJobsReceived(const VmId& from,
                               const std::vector<LongRunningJob>& jobs,
                               TimePoint now);
  /// Whether any long-running job has yet to be advertised to some peer.
  bool hasUnadvertisedJobs(TimePoint now) const;
  /// The registration of a job is complete: it is in progress elsewhere, or may
  /// start.
  void registrationAnswered(
    const JobId& job,
    const std::optional<PeerJobs::Location>& inProgressAt,
    TimePoint now);
  /// The jobs that this daemon has registered in the group.
  std::vector<JobId> registeredJobs() const;
  /// Whether a job is in progress here, or its runs may still be stopping.
  bool isInProgress(const JobId& job, TimePoint now) const;
  /// A peer recalls a job from here, because it has received the job too. Stops
  /// the submission here unless it is the later one, or unless the peer has
  /// started nothing and can't have received the later one. Returns how long
  /// the runs of the job may go on.
  Duration recallReceived(const VmId& from,
                          const PeerRecall& recall,
                          TimePoint now);
  /// A daemon acknowledges a recall: its runs of the job end within
  /// `endedWithin`.
  void recallAcknowledged(const VmId& from,
                          const JobId& job,
                          Duration endedWithin,
                          TimePoint now);
  /// Treats all jobs as not yet advertised, because the peers may have lost the
  /// advertisements. The jobs that had been advertised stop being exclusive at
  /// the given time unless they are advertised again.
  void advertiseAgain(TimePoint exclusiveUntil);
  /// Sets how late the event loop reads messages. New jobs are advertised
  /// earlier by twice as much, because the peers' acknowledgements are read
  /// late, and the peers, which are about as busy, read the advertisements
  /// late. The time at which a job ends that isn't acknowledged stays as it is:
  /// its holder ends it 30 ms later by its own clock, which is less than a turn
  /// of a late loop.
  void setLoopLag(Duration lag) { m_loopLag = lag; }
  /// Looks for holders and ends jobs that have run out of time. To be called
  /// every 20 ms, and when a shard has changed its holder.
  void tick(TimePoint now);

  std::size_t jobCount() const { return m_jobs.size(); }
  /// The daemons that have a part of any job.
  std::set<VmId> holders() const;
  /// The jobs of which this holder has a part.
  IdList jobsSubmittedTo(const VmId& holder) const;

private:
  enum class Registration
  {
    None,
    Pending,
    Complete,
  };

  /// The tasks of a job that are submitted to one holder together.
  struct Part
  {
    std::uint64_t id = 0;
    /// New for each submission of the part, so that late messages about an
    /// earlier submission are ignored.
    JobKey key;
    std::set<TaskIndex> tasks;
    std::uint64_t firstRun = 1;
    CrashCounts crashes;
    /// The daemon that has the part now, and the shard whose workers it may
    /// use.
    std::optional<VmId> holder;
    ShardId shard;
    /// When a holder of the part was last lost or gave it up, so that runs may
    /// be orphaned.
    std::optional<TimePoint> orphanedAt;
    /// The workers on which orphaned runs may go on. Empty if they aren't
    /// known, or if more than one holder may have left runs.
    std::optional<ShardWorkers> orphanWorkers;
    /// The tasks that may still be running since then, if the holder that gave
    /// the part up has listed them.
    std::optional<std::vector<TaskLocation>> activeTasks;
    /// Whether the holder may return tasks and name another holder. It may do
    /// so once.
    bool allowsReturn = true;
    /// The part was submitted to a holder that another holder named. This one
    /// may refuse it.
    bool wasReferred = false;
    /// Shards whose holders refused the part for lack of free slots, and the
    /// shortest time after which one of them expects some.
    std::set<ShardId> refusedBy;
    Duration retryAfter = Duration::max();
  };
  /// A job in progress here.
  struct Entry
  {
    std::uint64_t number = 0;
    JobSubmission submission;
    std::map<CallerId, AnswerCallback> callers;
    TimePoint arrivedAt{};
    TimePoint expiresAt{};
    std::map<std::uint64_t, Part> parts;
    /// Whether the job has had more than one part. Then no single holder knows
    /// whether any task of it runs.
    bool isSplit = false;
    /// Until this time the job is exclusive: its caller can't have submitted it
    /// again at a daemon that doesn't know where it is in progress.
    TimePoint exclusiveUntil{};
    /// When the job counts as long-running, and whether it has been advertised
    /// to the peers since.
    TimePoint longRunningFrom{};
    bool isAdvertised = false;
    bool hasBeenAdvertised = false;
    /// Whether the exclusive time counts from when the request may have been
    /// sent, as the group may have been partitioned since then.
    bool countsRequestAge = false;
    /// The peer from which an earlier submission of the job was recalled and
    /// that hasn't acknowledged it yet, and when the last recall was sent.
    std::optional<VmId> recallSentTo;
    TimePoint recallSentAt{};
    /// Nothing is submitted until then, because runs of an earlier submission
    /// may go on. Unset otherwise.
    std::optional<TimePoint> heldUntil;
    /// Nothing is submitted before the registration in the group is complete.
    Registration registration = Registration::None;
    TimePoint registeredAt{};
    /// The daemons whose runs of the job have ended.
    std::set<VmId> endedAt;
  };
  using Entries = std::map<std::uint64_t, Entry>;

  using PartRef = std::pair<Entry*, Part*>;

  static void logJobRead(const JobSubmission& submission);
  void logCallers(const char* event, const Entry& entry, TimePoint now) const;
  PartRef find(const VmId& from, const JobKey& key);
  Part& addPart(Entry& entry);
  Duration advertiseDelay() const;
  void submitOrHold(Entry& entry, TimePoint now);
  void waitFor(Entry& entry, const PeerJobs::Location& place, TimePoint now);
  void registrationComplete(
    Entry& entry,
    const std::optional<PeerJobs::Location>& inProgressAt,
    TimePoint now);
  void renewRegistrations(TimePoint now);
  bool mayBeHeldUp(const Entry& entry) const;
  bool mayKeep(const Entry& entry,
               const PeerRecall& recall,
               TimePoint now) const;
  void hold(Entry& entry, TimePoint until, TimePoint now);
  void placeUnassignedParts(Entry& entry, TimePoint now);
  void sendRecall(const VmId& vm, const Entry& entry, TimePoint now);
  void recall(Entry& entry, const VmId& vm, TimePoint now);
  bool isRecallRetryDue(const Entry& entry, TimePoint now) const;
  static Duration ageOf(const Entry& entry, TimePoint now);
  static TimePoint exclusiveUntilIfUnadvertised(const Entry& entry);
  static bool mayHaveRuns(const Entry& entry);
  TimePoint unadvertisedDeadline(const Entry& entry) const;
  void endUnadvertised(Entry& entry, TimePoint now);
  void markAdvertisedJobs(TimePoint now);
  void markAdvertised(Entry& entry);
  void markOrphaned(Part& part, TimePoint now) const;
  void partCompleted(Entry& entry, Part& part, TimePoint now);
  void partRefused(Entry& entry, Part& part, const JobEnd& end, TimePoint now);
  void partGivenUp(Entry& entry, Part& part, const JobEnd& end, TimePoint now);
  void place(Entry& entry, Part& part, TimePoint now);
  bool isHolderWaitOver(const Entry& entry, TimePoint now) const;
  bool placeOnBestHolder(Entry& entry, Part& part, TimePoint now);
  bool mayTry(const Part& part, const HolderChoice& choice) const;
  bool placeAfterLoss(Entry& entry, Part& part, TimePoint now);
  bool submitPart(Entry& entry,
                  Part& part,
                  const VmId& vm,
                  const ShardId& shard,
                  TimePoint now);
  void finish(Entry& entry, const JobAnswer& answer, TimePoint now);
  void cancelAndRemove(Entry& entry, TimePoint now);

  const VmId m_self;
  const Settings m_settings;
  const Hooks m_hooks;
  Entries m_jobs;
  std::map<JobId, std::uint64_t> m_numberByJob;
  /// For each submitted key, the job number and the part id.
  std::map<JobKey, std::pair<std::uint64_t, std::uint64_t>> m_partByKey;
  std::map<CallerId, std::uint64_t> m_jobByCaller;
  /// Jobs that were abandoned, and the time by which all their runs have ended.
  std::map<JobId, TimePoint> m_abandoned;
  std::uint64_t m_lastJob = 0;
  std::uint64_t m_lastPart = 0;
  /// The number of the last submission to a holder.
  std::uint64_t m_lastKey;
  CallerId m_lastCallerId = 0;
  Duration m_loopLag = Duration::zero();
};

} // namespace cowslippin
