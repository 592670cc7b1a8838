#pragma once

#include "incarnationtracker.h"
#include "leaseevents.h"
#include "ordertimeouts.h"
#include "spreadlimit.h"
#include "stopcause.h"
#include "unansweredstarts.h"
#include "workerorder.h"
#include "workerrecord.h"

#include "libcore/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslippin {

/// State of this daemon's lease on a worker.
enum class LeaseState
{
  /// A claim with a new token is in progress. Which runs are on the worker
  /// isn't known for certain before a report is answered that was requested
  /// after the first answer to the claim: the worker may have accepted a start
  /// before the claim and list it only after that answer.
  Claiming,
  /// Only this daemon may start runs on the worker, and it knows all runs
  /// there.
  Held,
  /// Several consecutive report requests were not answered.
  Silent,
  /// Another daemon has claimed the worker with a higher token.
  Fenced,
  /// The worker has restarted and has no record of earlier tokens. It has to be
  /// claimed with a higher token, so that orders still in transit to its
  /// earlier incarnation have no effect.
  Restarted,
  /// Another worker answers at the address.
  Ended,
};

const char*
toString(LeaseState state);

/// This daemon's lease on one worker: the fencing token, the runs that count
/// against the worker's capacity, and the orders in flight. The class does no
/// input or output and reads no clock: answers and times are passed in, orders
/// and events go out through `Hooks`.
///
/// A run is the lease's own if this daemon started or adopted it. A run that
/// only the worker's reports list is orphaned until it is adopted or stopped. A
/// run counts against the capacity from the time its start is sent until the
/// worker has listed its end, or until it can no longer be in progress.
class WorkerLease
{
public:
  struct Settings
  {
    /// How long runs continue without a renewal, unless `Hooks::runWantedUntil`
    /// ends the lease sooner.
    Duration leaseDuration = std::chrono::milliseconds(750);
    /// Least remaining lease with which a run is started. With less, the worker
    /// would reject the start as late, or the run would expire before it is
    /// done.
    Duration minLeaseToStart = std::chrono::milliseconds(300);
    /// Delay before an order that could not be sent is sent again.
    Duration unsentRetryDelay = std::chrono::milliseconds(90);
    /// Number of consecutive unanswered report requests after which the worker
    /// counts as silent.
    int unansweredReportLimit = 3;
    /// Delay before the next report request to a silent worker.
    Duration silentRetryDelay = std::chrono::milliseconds(250);
    /// How long an orphaned run is left running, so that the daemon that owns
    /// its task can ask for it.
    Duration orphanTimeout = std::chrono::milliseconds(200);
    /// Factor by which a worker's clock may be slower than this daemon's.
    double maxClockDriftFactor = 1.02;
    /// Added to the end of a lease before its runs count as ended.
    Duration expiryMargin = std::chrono::milliseconds(60);
    /// Longest lease that a worker grants, whatever deadline an order has.
    Duration maxGrantedLease = std::chrono::milliseconds(1000);
    /// How long after it was sent an unanswered start may still be carried out.
    Duration maxOrderDelay = std::chrono::seconds(12);
    /// How long after its arrival a promptly answered report is taken to
    /// describe the worker's current incarnation.
    Duration maxReportAge = std::chrono::milliseconds(5);
  };

  /// No hook may be empty. Hooks are called from within the member functions
  /// below and must not call back into the lease.
  struct Hooks
  {
    /// These three send an order to the worker. The caller passes the answer,
    /// or `OrderFailure::Unanswered` after the timeout, to
    /// `leaseOrderAnswered`, `startAnswered` or `stopAnswered`.
    std::function<void(const LeaseOrder&, Duration timeout)> sendLeaseOrder;
    std::function<void(const StartOrder&, Duration timeout)> sendStart;
    std::function<void(const StopOrder&, Duration timeout)> sendStop;
    /// An own run has ended and its capacity is free.
    std::function<void(const RunKey&, RunEnd)> runEnded;
    /// An own run isn't in progress and its capacity is free, but its start was
    /// not answered. If the worker restarts under its id, the new incarnation
    /// may carry the start out before `until`, because it has no record of
    /// earlier fencing tokens and stops. Called instead of `runEnded`.
    std::function<void(const RunKey&, TimePoint until)> unresolvedStartFound;
    /// Whether an unanswered start is to be sent again instead of being
    /// stopped. All copies have the same run number, so that one incarnation of
    /// the worker runs only one of them at a time; a later incarnation may run
    /// another copy after the first has ended.
    std::function<bool(const RunKey&)> mayResend;
    /// The worker did not carry out a start and will not do so; the capacity of
    /// the run is free.
    std::function<void(const RunKey&, OrderFailure)> startRejected;
    /// The lease stops a run whose start had no usable answer.
    std::function<void(const RunKey&, StopCause)> startStopped;
    /// An own run is in progress, with this percentage of its work done.
    std::function<void(const RunKey&, int percent)> runProgressed;
    /// A report lists a run that isn't the lease's own.
    std::function<void(const RunKey&)> orphanFound;
    /// A run that isn't the lease's own has ended.
    std::function<void(const RunKey&, RunEnd)> orphanEnded;
    std::function<void(const OrphanStopped&)> orphanStopped;
    std::function<void(const StopFailed&)> stopFailed;
    std::function<void(const EndingRunRenewed&)> endingRunRenewed;
    std::function<void(const LeaseExpired&)> expired;
    /// A run leaves the lease without an end that the worker has listed. Called
    /// before the hook that takes the run's end or the refusal of its start.
    std::function<void(const RunPresumedOver&)> runPresumedOver;
    std::function<void(LeaseState)> stateChanged;
    /// Until when a run is wanted, as far as is known now. Nothing if nobody
    /// wants the run any more; the time returned last then still applies.
    std::function<std::optional<TimePoint>(const RunKey&)> runWantedUntil;
  };

  /// `times` may be shared with other leases; it must not be null.
  WorkerLease(WorkerRecord record,
              Settings settings,
              Hooks hooks,
              std::shared_ptr<OrderTimeouts> times,
              TimePoint now);

  /// Claims the worker with a fencing token, also after it was fenced or has
  /// restarted. The lease keeps its runs and compares them with the worker's
  /// report.
  void claim(FencingToken token, TimePoint now);

  /// Starts a run. Must only be called if `canStart` allows it.
  void start(const RunKey& key,
             const Resources& resources,
             const std::string& spec,
             TimePoint now);

  /// Stops a run. A hook reports its end. Returns false if the run isn't known
  /// or is being stopped already.
  bool stop(const RunKey& key, TimePoint now);

  /// Fences starts of this run and of lower ones of its task that the worker
  /// may have accepted and not listed yet. They count as a run until a report
  /// that was requested after the answer.
  void fenceUnlistedStarts(const RunKey& key, TimePoint now);

  /// Requests a report that is answered at once, in addition to one that waits
  /// for a run to end. Does nothing while such a request is in flight.
  void requestReport(TimePoint now);

  /// Makes an orphaned run of this task the lease's own and returns its key, or
  /// nothing if there is none. While a worker has orphaned runs, its lease
  /// isn't extended; after the adoption, `requestReport` sends the next renewal
  /// at once.
  std::optional<RunKey> adoptOrphan(const std::string& task,
                                    const Resources& resources);

  /// Answers to orders of an earlier claim are ignored: since then the worker
  /// may have received runs that only the answer to the new claim lists.
  void leaseOrderAnswered(const SentLeaseOrder& sent,
                          const LeaseOrderAnswer& answer,
                          TimePoint now);
  void startAnswered(const RunKey& key,
                     const OrderAnswer& answer,
                     TimePoint now);
  void stopAnswered(const RunKey& key,
                    const OrderAnswer& answer,
                    TimePoint now);

  /// Advances time; to be called about every 20 ms.
  void tick(TimePoint now);

  /// Applies an entry of the platform's worker list. An entry of an earlier
  /// incarnation is ignored.
  void setRecord(const WorkerRecord& record, TimePoint now);

  /// Whether these resources are free on a worker that is held, answers, isn't
  /// draining and has no orphaned runs.
  bool canStart(const Resources& resources) const;
  /// Whether a start of this size keeps the worker within its capacity even
  /// after an undetected restart, when earlier unanswered starts may still be
  /// carried out. If there isn't room for all of them, or while starts of an
  /// earlier holder may still arrive, the start is safe only within
  /// `maxReportAge` after the arrival of a promptly answered report, for
  /// example one requested by `requestReport`. It isn't safe while another run
  /// keeps the lease short. The same goes for the tasks of a step that a later
  /// incarnation may run beside the task. The conditions of `canStart` and
  /// `freeTasks` are not included.
  bool isSafeToStart(const Resources& resources,
                     TimePoint now,
                     const SpreadLimit& limit = {}) const;
  /// Until when a start of this lease, or of an earlier holder, may still be
  /// carried out by a later incarnation of the worker. Nothing if that isn't
  /// known, because the worker isn't held.
  std::optional<TimePoint> lateStartsUntil() const;
  /// Limits the time until which starts of earlier holders may be carried out,
  /// as the previous holder has stated. Ignored if the current token isn't
  /// `claimedWith`, because the worker has been claimed again.
  void limitEarlierHoldersStarts(FencingToken claimedWith, TimePoint until);
  /// Starts of an earlier holder may still be carried out, as another daemon is
  /// found to have held the worker.
  void expectEarlierHoldersStarts(TimePoint now);
  /// Whether a promptly answered report has arrived within `maxReportAge`.
  bool isReportFresh(TimePoint now) const;
  /// Until when a copy of this start may still be carried out; nothing if no
  /// copy can be.
  std::optional<TimePoint> unansweredStartExpiry(const RunKey& key) const
  {
    return m_unansweredStarts.expiry(key);
  }
  /// Starts that the current incarnation of the worker or a later one may still
  /// carry out.
  std::vector<UnansweredStart> unansweredStarts() const
  {
    return m_unansweredStarts.all();
  }
  /// Capacity that no run counts against; zero while that isn't known.
  Resources freeCapacity() const;
  bool isIdle() const { return m_runs.empty(); }
  bool hasOrphans() const { return m_orphanCount > 0; }
  bool isRunning(const std::string& task) const;
  /// Returns how many more tasks of a step may be started. Each of its tasks
  /// counts that has a run which is, or may be, in progress, also if another
  /// daemon or another submission started it, or if it is being stopped.
  unsigned freeTasks(const SpreadLimit& limit) const;

  LeaseState state() const { return m_state; }
  const WorkerRecord& record() const { return m_record; }
  FencingToken token() const { return m_token; }
  std::size_t runCount() const { return m_runs.size(); }
  /// Until when the worker's runs may continue under the leases granted so far,
  /// by this daemon's clock.
  TimePoint leasedUntil() const { return m_leasedUntil; }
  /// When the newest report was requested. The report lists everything that
  /// another daemon had started on the worker before that time.
  TimePoint reportRequestedAt() const { return m_reportAskedAt; }
  /// Time by which every run has ended if the worker doesn't answer any more.
  TimePoint runsExpireBy() const;

private:
  enum class RunState
  {
    Starting,
    Running,
    Stopping,
  };
  struct Run
  {
    Resources resources;
    /// Token of the order that started the run.
    FencingToken token = 0;
    RunState state = RunState::Starting;
    /// Sent again with each copy of the start; kept only until the worker has
    /// answered.
    std::string spec;
    unsigned startsSent = 0;
    /// The start is sent again unless the next report lists the run.
    bool isResendDue = false;
    /// The worker has refused the run number because it has had this run or a
    /// later one.
    bool isStale = false;
    /// The run is orphaned: this daemon neither started nor adopted it, and
    /// doesn't know its size.
    bool isOrphaned = false;
    /// When the start was last sent, or when the orphaned run was found.
    TimePoint since{};
    /// By the worker's clock; the worker ignores the start from this time on.
    std::int64_t startDeadlineMs = 0;
    /// A report of the worker's current incarnation has listed the run. The
    /// answer to the start doesn't tell which incarnation gave it.
    bool isListed = false;
    /// The start was sent before the current incarnation was known.
    bool isOfEarlierIncarnation = false;
    TimePoint firstStopAt{};
    unsigned stopsSent = 0;
    /// Whether `endingRunRenewed` was called for the run.
    bool isRenewalReported = false;
    /// When an answer or a report first showed that the worker has the run.
    std::optional<TimePoint> confirmedAt;
    std::optional<TimePoint> stopSentAt;
    std::optional<TimePoint> stopAnsweredAt;
    /// No lease may let the run continue for longer. Stays zero for an orphaned
    /// run, so that the lease isn't renewed: whoever wanted the run may have
    /// started its task elsewhere.
    TimePoint wantedUntil{};
  };
  using Runs = std::map<RunKey, Run>;

  void setState(LeaseState state);
  void sendLeaseOrder(Duration wait, TimePoint now);
  void sendStart(const RunKey& key, Run& run, TimePoint now);
  void sendStop(const RunKey& key, Run& run, TimePoint now);
  void stopStart(const RunKey& key, StopCause cause, TimePoint now);
  void startRefused(Runs::iterator found, OrderFailure failure, TimePoint now);
  bool canResend(const RunKey& key) const;
  void resendStarts(TimePoint now);
  void reportRequestFailed(OrderFailure failure, TimePoint now);
  void beginNextIncarnation(TimePoint now);
  bool completesClaim(TimePoint sent) const;
  void boundEarlierOrders(TimePoint now);
  bool isOutdated(const WorkerReport& report, TimePoint sent) const;
  void requestNextReport(TimePoint now);
  void applyReport(const WorkerReport& report, TimePoint sent, TimePoint now);
  void applyEndedRuns(const WorkerReport& report);
  void applyActiveRuns(const WorkerReport& report, TimePoint now);
  void endMissingRuns(const WorkerReport& report,
                      TimePoint sent,
                      TimePoint now);
  std::optional<UnlistedEnd> causeOfEnd(const Run& run,
                                        std::int64_t clockMs,
                                        TimePoint sent) const;
  void presumeOver(const RunKey& key,
                   const Run& run,
                   PresumedOverCause cause,
                   TimePoint now,
                   std::optional<DecidingReport> report = std::nullopt) const;
  void endRun(Runs::iterator found, RunEnd end);
  void endMissingRun(Runs::iterator found, RunEnd end);
  void rejectRun(Runs::iterator found, OrderFailure failure);
  void endAllAsLost(TimePoint now);
  bool mayHaveEarlierHoldersStarts(TimePoint now) const;
  Resources freeCapacityInNextIncarnation() const;
  bool mayExceedInNextIncarnation(const SpreadLimit& limit) const;
  bool mayOvercommitNextIncarnation() const;
  void expireLease(TimePoint now);
  void reportUnwantedRenewals(TimePoint now);
  void tickRuns(TimePoint now);
  TimePoint leaseEnd(TimePoint now);
  std::int64_t deadline(TimePoint leaseEnd);

  WorkerRecord m_record;
  const Settings m_settings;
  const Hooks m_hooks;
  const std::shared_ptr<OrderTimeouts> m_answerTimes;
  IncarnationTracker m_incarnations;
  LeaseState m_state = LeaseState::Claiming;
  FencingToken m_token = 0;
  /// When the first report under the current token arrived.
  std::optional<TimePoint> m_claimAnsweredAt;
  /// Whether the runs on the worker are known since the last claim.
  bool m_isClaimComplete = false;
  Runs m_runs;
  UnansweredStarts m_unansweredStarts;
  /// Until when a start of an earlier holder may still be carried out.
  TimePoint m_earlierHoldersStartsUntil{};
  Resources m_usedCapacity;
  std::size_t m_orphanCount = 0;
  /// Sequence number of the last end that was applied; the next report request
  /// acknowledges it.
  std::uint64_t m_acknowledged = 0;
  /// The worker's clock minus this daemon's, in milliseconds.
  std::optional<std::int64_t> m_clockOffsetMs;
  /// Unanswered report requests under the current token. A request sent after a
  /// stop runs beside the one that waits for a run to end.
  unsigned m_reportRequestsInFlight = 0;
  /// The worker's clock in the newest report, and when that report arrived.
  std::int64_t m_reportClockMs = 0;
  TimePoint m_reportAt{};
  int m_unansweredReports = 0;
  TimePoint m_nextReportRequestAt{};
  TimePoint m_reportAskedAt{};
  /// Latest deadline that an order has carried, by this daemon's clock.
  TimePoint m_leasedUntil{};
  /// Earliest time at which a run stops being wanted, as of the last renewal;
  /// bounds the lease.
  TimePoint m_wantedUntil = TimePoint::max();
  /// Until when orders to an earlier incarnation may have effects.
  TimePoint m_earlierOrdersUntil{};
};

} // namespace cowslippin
