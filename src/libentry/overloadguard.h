#pragma once

#include "doorrefusal.h"
#include "holderrelief.h"
#include "looplag.h"
#include "overloadcontrol.h"
#include "routingtable.h"
#include "startwait.h"

#include "libjobs/jobs.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cowslippin {

struct JobSubmission;

/// Protects a daemon that is short of processor time: measures how late its
/// event loop is, and refuses callers' jobs on arrival and jobs that other
/// daemons submit. Logs and counts the refusals. Does no other I/O and reads no
/// clock.
class OverloadGuard
{
public:
  /// Numbers of refused jobs by queue and reason.
  using RefusalCounts =
    std::map<std::pair<std::string, std::string>, std::uint64_t>;

  /// What the daemon has to do.
  struct Backlog
  {
    std::size_t waitingTasks = 0;
    std::size_t callersWaiting = 0;
    std::size_t jobsScheduled = 0;
  };

  /// Tells whether a job is in progress here or, as far as is known, elsewhere.
  /// It would be false to say that such a job hasn't run.
  using IsInProgress = std::function<bool(const JobId&, TimePoint now)>;

  explicit OverloadGuard(IsInProgress isInProgress)
    : m_isInProgress(std::move(isInProgress))
  {
  }

  /// Sets the priority of the least urgent queue of the configuration in force.
  void setLeastUrgentPriority(int priority)
  {
    m_leastUrgentPriority = priority;
  }
  /// To be called at each tick of the event loop.
  void tick(const Backlog& backlog, TimePoint now);
  /// Admits all jobs again, after a pause of the process, which isn't an
  /// overload.
  void reset();
  void taskStarted(TimePoint now) { m_startWait.taskStarted(now); }

  /// See `EntryCore::refuseUndecoded`.
  std::optional<DoorRefusal> refuseUndecoded(const JobId& job,
                                             const QueuePolicy& policy,
                                             TimePoint now);
  /// See `EntryCore::refuseDecoded`. `readDelay` is an upper bound on how long
  /// the request waited in the socket.
  std::optional<DoorRefusal> refuseDecoded(const JobSubmission& submission,
                                           Duration readDelay,
                                           TimePoint now);
  /// Returns the end of a job of another daemon that is refused, so that its
  /// submitter asks another holder; nothing if the job is taken.
  std::optional<JobEnd> refuseSubmitted(const JobRequest& request);

  /// The largest lag of the event loop in the recent past.
  Duration recentLag() const { return m_lag.recentPeak(); }
  Duration meanLag() const { return m_lag.mean(); }
  /// Share of the callers' work that is admitted on arrival.
  double admittedShare() const { return m_control.share(); }
  /// Share of other daemons' jobs that is taken as a holder.
  double holderShare() const { return m_relief.share(); }
  const RefusalCounts& refusals() const { return m_refusals; }

private:
  Duration processorWait(std::size_t waitingTasks, TimePoint now) const;
  void logChange(OverloadControl::Change change,
                 const Backlog& backlog,
                 TimePoint now);
  DoorRefusal refuse(const JobId& job,
                     const std::string& queue,
                     const char* reason,
                     TimePoint now);

  const IsInProgress m_isInProgress;
  LoopLag m_lag{ LoopLag::Settings() };
  OverloadControl m_control{ OverloadControl::Settings() };
  HolderRelief m_relief{ HolderRelief::Settings() };
  StartWait m_startWait;
  RefusalCounts m_refusals;
  TimePoint m_beganAt{};
  int m_leastUrgentPriority = 0;
};

} // namespace cowslippin
