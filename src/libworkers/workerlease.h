#pragma once

#include "answertimes.h"
#include "leasenote.h"
#include "lifetracker.h"
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

/// What this daemon can do with a worker.
enum class LeaseState
{
  /// An order with a new token is under way; what runs there isn't known.
  Claiming,
  /// This daemon alone may start runs there and knows all that runs.
  Held,
  /// The worker hasn't answered for a while.
  Silent,
  /// Another daemon has taken it with a higher token.
  Fenced,
  /// The worker has started again and knows nothing of before. It has to be
  /// claimed with a higher token, so that orders which are still on their way
  /// to its earlier life do nothing.
  Restarted,
  /// Another worker answers at its address.
  Ended,
};

const char*
toString(LeaseState state);

/// One worker under this daemon's lease: its token, the runs that count against
/// its capacity, and the orders under way. It does no input or output and reads
/// no clock: answers and times go in, orders and ends go out by hooks.
///
/// A run counts against the capacity from the moment its start is sent until
/// the worker has listed its end, or until it can't be running any more.
class WorkerLease
{
public:
  struct Settings
  {
    /// How long a run goes on without a renewal, unless `wantedUntil` ends it
    /// sooner.
    Duration leaseTime = std::chrono::milliseconds(750);
    /// With less of a lease nothing is started: the start would be rejected as
    /// late, or the run would be lost before it is done.
    Duration shortestLease = std::chrono::milliseconds(300);
    /// The wait before an order that could not be sent is tried again.
    Duration unsentRetry = std::chrono::milliseconds(90);
    /// Unanswered reports in a row after which the worker counts as silent.
    int silentAfter = 3;
    /// The wait between reports asked of a silent worker.
    Duration silentRetry = std::chrono::milliseconds(250);
    /// How long a run that nobody has asked for is left alone, so that the
    /// daemon whose task it is can ask for it.
    Duration strayLimit = std::chrono::milliseconds(200);
    /// How much slower a worker's clock may be, as a factor.
    double slowestClock = 1.02;
    /// Added to a lease before its runs are taken as gone.
    Duration lapseMargin = std::chrono::milliseconds(60);
    /// The longest lease that a worker grants, whatever deadline an order has.
    Duration longestLease = std::chrono::milliseconds(1000);
    /// How long after it was sent an unanswered start may still be carried out.
    Duration lateOrderLimit = std::chrono::seconds(12);
    /// How long after its arrival a report that was answered promptly is taken
    /// to be of the present life.
    Duration freshReportLimit = std::chrono::milliseconds(5);
  };

  /// None may be empty. They are called from within the functions below and
  /// must not call back into the lease.
  struct Hooks
  {
    std::function<void(const HoldOrder&, Duration timeout)> sendHold;
    std::function<void(const StartOrder&, Duration timeout)> sendStart;
    std::function<void(const StopOrder&, Duration timeout)> sendStop;
    /// A run of the book has ended and its room is free.
    std::function<void(const RunKey&, RunEnd)> runEnded;
    /// A run of the book isn't at work and its room is free, but its start had
    /// no answer, and the worker may carry it out before `until` if it restarts
    /// under its id: a later life has no record of fencing tokens and stops.
    /// Called instead of `runEnded`.
    std::function<void(const RunKey&, TimePoint until)> startUnresolved;
    /// Whether a start without an answer is to be sent again instead of being
    /// stopped. The copies have one number, so that a life runs only one of
    /// them at a time; a later life may run another after the first has ended.
    std::function<bool(const RunKey&)> mayResend;
    /// A start was surely not carried out; its room is free.
    std::function<void(const RunKey&, OrderFailure)> startRejected;
    /// A run of the book is at work.
    std::function<void(const RunKey&, int percent)> runActive;
    /// A run was found that isn't in the book.
    std::function<void(const RunKey&)> strayFound;
    /// A run that isn't in the book has ended.
    std::function<void(const RunKey&, RunEnd)> strayEnded;
    std::function<void(const StrayStopped&)> strayStopped;
    std::function<void(const StopFailed&)> stopFailed;
    std::function<void(const UnwantedRenewal&)> unwantedRenewal;
    std::function<void(const LeaseLapsed&)> lapsed;
    std::function<void(LeaseState)> stateChanged;
    /// Until when a run may go on by what is known now of who wants it; nothing
    /// if nobody does any more, so that what was said last holds.
    std::function<std::optional<TimePoint>(const RunKey&)> wantedUntil;
  };

  /// `times` may be shared with other leases; it must not be null.
  WorkerLease(WorkerRecord record,
              Settings settings,
              Hooks hooks,
              std::shared_ptr<AnswerTimes> times,
              TimePoint now);

  /// Takes the worker with a token, also again after it was fenced or has
  /// started again. The book stays; the worker's report is compared with it.
  void claim(FencingToken token, TimePoint now);

  /// Starts a run. Only when `canStart` allows it.
  void start(const RunKey& key,
             const Resources& resources,
             const std::string& spec,
             TimePoint now);

  /// Stops a run of the book. Its end comes by a hook.
  void stop(const RunKey& key, TimePoint now);

  /// Asks for a report that is answered at once, beside one that waits for an
  /// end, if none is under way.
  void refresh(TimePoint now);

  /// Takes a stray run of this task into the book. Nothing if there is none.
  /// Renewals, which strays hold up, go on with `refresh`.
  std::optional<RunKey> adopt(const std::string& task,
                              const Resources& resources);

  /// What answers an order of an earlier claim is ignored: the worker may have
  /// got runs since that only the answer to the new claim tells of.
  void holdAnswered(const SentHold& sent,
                    const HoldAnswer& answer,
                    TimePoint now);
  void startAnswered(const RunKey& key,
                     const OrderAnswer& answer,
                     TimePoint now);
  void stopAnswered(const RunKey& key,
                    const OrderAnswer& answer,
                    TimePoint now);

  /// Lets time pass; to be called every 20 ms or so.
  void tick(TimePoint now);

  /// The entry of the platform's list. One of an earlier life is ignored.
  void setRecord(const WorkerRecord& record, TimePoint now);

  bool canStart(const Resources& resources) const;
  /// Whether a start of this size keeps the worker within its capacity even
  /// after an undetected restart, when earlier unanswered starts may still be
  /// carried out. Without room for all of them, or while there may be some of
  /// an earlier holder, it takes a prompt report that
  /// arrived within `freshReportLimit`, for example one requested by `refresh`.
  /// Neither is it safe where another run keeps the lease short. Doesn't
  /// include the conditions of `canStart`.
  bool isSafeToStart(const Resources& resources, TimePoint now) const;
  /// Whether a report that was answered promptly has arrived within
  /// `freshReportLimit`.
  bool isReportFresh(TimePoint now) const;
  /// Until when a copy of this start may still be carried out, if one may.
  std::optional<TimePoint> unansweredUntil(const RunKey& key) const
  {
    return m_unansweredStarts.expiry(key);
  }
  /// Starts that may still be carried out, if only by a later life.
  std::vector<UnansweredStart> unansweredStarts() const
  {
    return m_unansweredStarts.all();
  }
  /// Capacity that nothing counts against; nothing while that isn't known.
  Resources freeRoom() const;
  bool isIdle() const { return m_runs.empty(); }
  bool hasStrays() const { return m_strays > 0; }
  bool isRunning(const std::string& task) const;

  LeaseState state() const { return m_state; }
  const WorkerRecord& record() const { return m_record; }
  FencingToken token() const { return m_token; }
  std::size_t runCount() const { return m_runs.size(); }
  /// Until when its runs may go on by the leases that were granted, this
  /// daemon's clock.
  TimePoint leasedUntil() const { return m_leasedUntil; }
  /// When the newest report was asked for: it tells of all that another daemon
  /// had begun here before.
  TimePoint reportAskedAt() const { return m_reportAskedAt; }
  /// When every run was surely over if the worker had not answered since.
  TimePoint lapsedBy() const;

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
    /// Of the order that started it.
    FencingToken token = 0;
    RunState state = RunState::Starting;
    /// What to send again; only until the worker has answered.
    std::string spec;
    unsigned startsSent = 0;
    /// Its start is to be sent again unless the next report shows the run.
    bool isResendDue = false;
    /// The worker has refused its number, having had this or a later run.
    bool isStale = false;
    /// Nobody has asked for it; its size isn't known.
    bool isStray = false;
    TimePoint since{};
    /// On the worker's clock; a start is ignored from then on.
    std::int64_t startDeadlineMs = 0;
    /// A report of the present life of the worker has shown it. The answer to
    /// its start doesn't tell by which life it was given.
    bool isListed = false;
    /// Its start was sent before the present life was known.
    bool isOfEarlierLife = false;
    TimePoint firstStopAt{};
    unsigned stopsSent = 0;
    /// Whether it was told that the lease was renewed although it is to end.
    bool isRenewalTold = false;
    std::optional<TimePoint> confirmedAt;
    std::optional<TimePoint> stopSentAt;
    std::optional<TimePoint> stopAnsweredAt;
    /// No lease may let it go on for longer. A stray has none of its own: who
    /// wanted it may have started its task elsewhere.
    TimePoint wantedUntil{};
  };
  using Runs = std::map<RunKey, Run>;

  void setState(LeaseState state);
  void sendHold(Duration wait, TimePoint now);
  void sendStart(const RunKey& key, Run& run, TimePoint now);
  void sendStop(const RunKey& key, Run& run, TimePoint now);
  void startRefused(Runs::iterator found, OrderFailure failure, TimePoint now);
  bool canResend(const RunKey& key) const;
  void resendStarts(TimePoint now);
  void holdFailed(OrderFailure failure, TimePoint now);
  void beginNextLife(TimePoint now);
  void noteClaimAnswered(TimePoint now);
  bool isOutdated(const HoldReport& report, TimePoint sent) const;
  void goOn(TimePoint now);
  void applyReport(const HoldReport& report, TimePoint sent, TimePoint now);
  void applyEnds(const HoldReport& report);
  void applyActive(const HoldReport& report, TimePoint now);
  void dropMissing(const HoldReport& report, TimePoint sent);
  bool isOver(const Run& run, std::int64_t clockMs, TimePoint sent) const;
  void endRun(Runs::iterator found, RunEnd end);
  void endMissing(Runs::iterator found, RunEnd end);
  void rejectRun(Runs::iterator found, OrderFailure failure);
  void endAllLost();
  bool mayHaveUnknownStarts(TimePoint now) const;
  Resources freeRoomInNextLife() const;
  bool mayOverfillNextLife() const;
  void lapse(TimePoint now);
  void tellUnwanted(TimePoint now);
  void tickRuns(TimePoint now);
  TimePoint leaseEnd(TimePoint now);
  std::int64_t deadline(TimePoint leaseEnd);

  WorkerRecord m_record;
  const Settings m_settings;
  const Hooks m_hooks;
  const std::shared_ptr<AnswerTimes> m_times;
  LifeTracker m_life;
  LeaseState m_state = LeaseState::Claiming;
  FencingToken m_token = 0;
  Runs m_runs;
  UnansweredStarts m_unansweredStarts;
  /// Until when a start of an earlier holder may still be carried out.
  TimePoint m_unknownStartsUntil{};
  Resources m_used;
  std::size_t m_strays = 0;
  std::uint64_t m_acknowledged = 0;
  /// The worker's clock less this daemon's, in milliseconds.
  std::optional<std::int64_t> m_clockOffsetMs;
  /// Reports asked for under the present token and not answered. One asked
  /// for after a stop goes beside that which waits for an end.
  unsigned m_holdsUnderWay = 0;
  /// The newest report: the worker's clock, and when it arrived.
  std::int64_t m_reportClockMs = 0;
  TimePoint m_reportAt{};
  int m_unanswered = 0;
  TimePoint m_nextHoldAt{};
  TimePoint m_reportAskedAt{};
  /// The latest deadline that an order has carried, on this daemon's clock.
  TimePoint m_leasedUntil{};
  /// The bound on the lease by who wants the runs, as of the last renewal.
  TimePoint m_wantedUntil = TimePoint::max();
  /// Orders to an earlier life may have effect up to then.
  TimePoint m_earlierOrdersUntil{};
};

} // namespace cowslippin
