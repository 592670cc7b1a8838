#pragma once

#include "holderchoice.h"
#include "knownjobs.h"

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
  /// How long the caller waits.
  Duration timeLeft = Duration::zero();
  /// How long the request may have waited to be read.
  Duration unreadFor = Duration::zero();
};

/// What a caller is answered.
struct JobAnswer
{
  enum class Kind
  {
    Completed,
    Failed,
    /// Nothing of the job has run or will run.
    NotRun,
    /// Something of it may have run; all of it is being stopped.
    Unknown,
  };

  Kind kind = Kind::Completed;
  /// Of `NotRun`, and of `Unknown` where it isn't zero: when to come back.
  Duration retryAfter = Duration::zero();
  std::string reason;
};

/// The jobs whose callers wait at this daemon. It finds the daemon that holds
/// workers for each, and another one when that is lost, and makes sure that no
/// task runs twice at the same time on the way. It does no input or output and
/// reads no clock.
///
/// A caller whose connection breaks submits its job again 1,300 ms later, at
/// any daemon, and this one may learn of it late or never. So a job either ends
/// before that or the other daemons are told where it is under way. The one to
/// which it then comes recalls it from here.
class Gateway
{
public:
  struct Settings
  {
    /// Share of its ideal response time that a job waits for a daemon that
    /// holds workers before it is refused.
    double holderWaitShare = 0.25;
    /// Shards that a job is handed to before it is refused, not counting those
    /// that told of room. Load is at its worst when jobs are refused: asking
    /// all of many shards, at some 700 bytes each, took more of the links than
    /// the jobs that were served.
    std::size_t mostAsked = 4;
    Duration lostRunLimit = cowslippin::lostRunLimit;
    /// A caller that is refused for want of workers comes back after this.
    Duration noHolderRetry = std::chrono::milliseconds(500);
    /// The same while all zones are evacuated, which takes seconds at least.
    Duration evacuatedRetry = std::chrono::seconds(2);
    /// Jobs that are under way for so long are told to other daemons. Most are
    /// over before.
    Duration tellAfter = std::chrono::milliseconds(450);
    /// A job of which the others can't be told ends so long before its caller
    /// may have submitted it again, as its holder has to be told of that.
    Duration untoldMargin = std::chrono::milliseconds(90);
    /// A job of which nothing was started is refused if the others can't be
    /// told of it for so long.
    Duration tellLimit = std::chrono::milliseconds(500);
    /// A recall without an answer may have been lost with its connection.
    Duration recallRetry = std::chrono::milliseconds(150);
  };

  /// None may be empty.
  struct Hooks
  {
    /// Who holds the workers of a shard, or some of them if they are divided
    /// into other shards by now. Only daemons that can be reached.
    std::function<std::optional<HolderChoice>(const ShardId&)> nextHolder;
    /// A holder for a new job, of a shard that hasn't refused it: one of this
    /// zone if there is any, with room if there is any.
    std::function<std::optional<HolderChoice>(
      const std::set<ShardId>& refusedBy)>
      bestHolder;
    /// Whether operators have had all workers' zones evacuated, so that there
    /// is no holder to wait for.
    std::function<bool()> areAllEvacuated;
    /// What a daemon told of the workers of a shard that it holds, if it did.
    std::function<std::optional<ShardDigest>(const VmId&, const ShardId&)>
      workers;
    /// Hands a job to a daemon, this one included. False if it can't be
    /// reached.
    std::function<bool(const VmId&, const JobRequest&)> submit;
    std::function<void(const VmId&, const JobKey&)> cancel;
    /// Tells a holder that the other daemons know of a job.
    std::function<void(const VmId&, const JobKey&)> keep;
    /// Until when all daemons at which callers may submit a job again have been
    /// told of `longJobs`, by this daemon's clock.
    std::function<TimePoint()> toldUntil;
    /// Where callers of another daemon have a job under way.
    std::function<std::optional<KnownJobs::Place>(const JobId&)> underWayAt;
    /// Asks a daemon to stop what it has of a job.
    std::function<void(const VmId&, const PeerRecall&)> recall;
  };

  using Done = std::function<void(const JobAnswer&)>;
  /// Identifies a caller that waits.
  using Ticket = std::uint64_t;

  Gateway(VmId self, Settings settings, Hooks hooks);

  /// A job that is under way here is joined, not begun again.
  Ticket submit(JobSubmission submission, Done done, TimePoint now);
  /// The caller has gone without an answer.
  void callerGone(Ticket ticket, TimePoint now);

  /// The daemon that had a job says what became of it.
  void ended(const VmId& from,
             const JobKey& key,
             const JobEnd& end,
             TimePoint now);
  /// A holder has no room for some tasks and names one that has.
  void returned(const VmId& from,
                const JobKey& key,
                const TasksReturned& returned,
                TimePoint now);
  /// A daemon can't be reached any more.
  void daemonLost(const VmId& vm, TimePoint now);
  /// The jobs that other daemons are to know of: those that have been under way
  /// for a while, and those that were given up and whose runs may still be
  /// stopping.
  std::vector<LongJob> longJobs(TimePoint now) const;
  /// What another daemon tells of its own. Of a job that is at both the earlier
  /// submission is recalled: its caller has left it.
  void told(const VmId& from, const std::vector<LongJob>& jobs, TimePoint now);
  /// Whether any of them still has to be told to some daemon.
  bool hasUntoldJobs(TimePoint now) const;
  /// Another daemon has been sent a job that this one told of. What runs of it
  /// is stopped, but for a later submission; returns how long that may take.
  Duration recall(const VmId& from, const PeerRecall& recall, TimePoint now);
  /// The answer to a recall.
  void recalled(const VmId& from,
                const JobId& job,
                Duration overIn,
                TimePoint now);
  /// The other daemons may no longer know of the jobs that they have been told
  /// of: those cease to be exclusive at this time unless they are told anew.
  void tellAnew(TimePoint exclusiveUntil);
  /// Looks for holders and ends what has run out of time; to be called every
  /// 20 ms and when a shard has changed hands.
  void tick(TimePoint now);

  std::size_t waiting() const { return m_jobs.size(); }
  /// The daemons that have something of a job.
  std::set<VmId> holders() const;
  /// The jobs of which a daemon has something.
  IdList jobsAt(const VmId& holder) const;

private:
  /// Tasks of a job that one holder has.
  struct Part
  {
    std::uint64_t id = 0;
    /// New each time that the part is handed over, so that what a holder says
    /// of an earlier time is not heeded.
    JobKey key;
    std::set<TaskIndex> tasks;
    std::uint64_t firstRun = 1;
    CrashCounts crashes;
    /// The daemon that has the part now, and the shard of its workers.
    std::optional<VmId> holder;
    ShardId shard;
    /// Set when a daemon that had the part was lost or gave it up.
    std::optional<TimePoint> lostAt;
    /// The workers on which runs of it may be left since then; none if they
    /// aren't known, or if they may be left by more than one daemon.
    std::optional<ShardWorkers> lostOn;
    /// Its tasks that may be at work since then, if the daemon has told them.
    std::optional<std::vector<TaskPlace>> underWay;
    /// Whether the holder may name another one. It may do so once.
    bool mayBeReturned = true;
    /// Handed to a holder that another one has named: it may refuse.
    bool isSuggested = false;
    /// Shards whose holders had no room for it in time, and when the first of
    /// them expects some.
    std::set<ShardId> refusedBy;
    Duration retryAfter = Duration::max();
  };
  struct Entry
  {
    std::uint64_t number = 0;
    JobSubmission submission;
    std::map<Ticket, Done> callers;
    TimePoint arrivedAt{};
    TimePoint expiresAt{};
    std::map<std::uint64_t, Part> parts;
    /// Whether it has had more than one part, so that no holder knows whether
    /// something of it runs.
    bool isSplit = false;
    /// Until when its caller can't have submitted it again.
    TimePoint exclusiveUntil{};
    /// When it becomes one of the long jobs, and whether the other daemons have
    /// been told of it since.
    TimePoint longFrom{};
    bool isTold = false;
    /// Set while another daemon is asked to stop what it has of the job, and
    /// when it was asked last.
    std::optional<VmId> recalledFrom;
    TimePoint recalledAt{};
    /// Set while runs of an earlier submission may be at work.
    std::optional<TimePoint> heldUntil;
  };
  using Entries = std::map<std::uint64_t, Entry>;

  using PartPlace = std::pair<Entry*, Part*>;

  void logCallers(const char* event, const Entry& entry, TimePoint now) const;
  PartPlace find(const VmId& from, const JobKey& key);
  Part& addPart(Entry& entry);
  void begin(Entry& entry, TimePoint now);
  void hold(Entry& entry, TimePoint until, TimePoint now);
  void placeAll(Entry& entry, TimePoint now);
  void recallFrom(const VmId& vm, const Entry& entry, TimePoint now);
  bool mayBeginNow(const Entry& entry, TimePoint now) const;
  static Duration ageOf(const Entry& entry, TimePoint now);
  static TimePoint exclusiveFromArrival(const Entry& entry);
  static bool mayRun(const Entry& entry);
  TimePoint untoldEnd(const Entry& entry) const;
  void endUntold(Entry& entry, TimePoint now);
  void tellOthers(TimePoint now);
  void setTold(Entry& entry);
  void markLost(Part& part, TimePoint now) const;
  void partDone(Entry& entry, Part& part, TimePoint now);
  void partRefused(Entry& entry, Part& part, const JobEnd& end, TimePoint now);
  void partMoved(Entry& entry, Part& part, const JobEnd& end, TimePoint now);
  void place(Entry& entry, Part& part, TimePoint now);
  bool hasWaitedForHolder(const Entry& entry, TimePoint now) const;
  bool placeFresh(Entry& entry, Part& part, TimePoint now);
  bool mayAsk(const Part& part, const HolderChoice& choice) const;
  bool placeAgain(Entry& entry, Part& part, TimePoint now);
  bool handTo(Entry& entry,
              Part& part,
              const VmId& vm,
              const ShardId& shard,
              TimePoint now);
  void finish(Entry& entry, const JobAnswer& answer, TimePoint now);
  void forget(Entry& entry, TimePoint now);

  const VmId m_self;
  const Settings m_settings;
  const Hooks m_hooks;
  Entries m_jobs;
  std::map<JobId, std::uint64_t> m_byId;
  /// The job and the part that each key stands for.
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> m_keys;
  std::map<Ticket, std::uint64_t> m_tickets;
  /// When the runs of jobs that were given up are surely over.
  std::map<JobId, TimePoint> m_givenUp;
  std::uint64_t m_lastJob = 0;
  std::uint64_t m_lastPart = 0;
  std::uint64_t m_lastKey = 0;
  Ticket m_lastTicket = 0;
};

} // namespace cowslippin
