#pragma once

#include "jobend.h"
#include "jobrequest.h"
#include "restartcause.h"

#include "libworkers/runkey.h"
#include "libworkers/workerorder.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// The state of a task.
enum class TaskState
{
  /// The task is to be started as soon as there is room.
  Pending,
  /// A run of the task that a lost daemon left behind may still be in progress.
  Quarantined,
  /// A run of the task is, or may be, in progress on a worker of this daemon.
  Running,
  /// The task was returned to the submitter, which hands it to another holder.
  Returned,
  Done,
};

/// One task of a job at this daemon.
struct JobTask
{
  TaskIndex index = 0;
  TaskState state = TaskState::Pending;
  std::uint64_t nextRun = 1;
  RestartCause restartCause = RestartCause::None;
  unsigned failures = 0;
  /// Whether starts of earlier holders on `lastWorker`, which it may have
  /// accepted and not listed yet, were stopped.
  bool areEarlierStartsFenced = false;
  /// Number of starts that were refused because of the run's number.
  unsigned staleStarts = 0;
  /// Number of workers that were lost while a run of the task was in progress
  /// there.
  unsigned crashes = 0;
  /// Number of runs that were stopped because they made no progress, and
  /// whether the present run is being stopped for that reason.
  unsigned restarts = 0;
  bool isBeingStopped = false;
  WorkerId worker;
  std::uint64_t run = 0;
  /// Token of the first order that started the run; 0 if it was adopted.
  FencingToken token = 0;
  /// Whether the next start has the number `run`. The start that had this
  /// number was neither seen in progress nor rejected, so that the worker takes
  /// both for one run.
  bool mayReuseRun = false;
  /// When the run was started or, if a lost daemon had started it, adopted.
  TimePoint startedAt{};
  bool wasAdopted = false;
  /// Progress that the worker last reported, and when it last rose.
  int percent = 0;
  TimePoint progressAt{};
  TimePoint quarantinedUntil{};
  /// The worker on which an earlier run may be in progress; empty if it isn't
  /// known.
  WorkerId lastWorker;
  /// Workers on which the task failed, was rejected or made no progress.
  std::set<WorkerId> avoidedWorkers;
};

/// A job, or a part of one, at the daemon that holds the workers for it.
struct Job
{
  JobRequest request;
  /// When the caller's request arrived, on this daemon's clock.
  TimePoint arrivedAt{};
  /// When this daemon received the job.
  TimePoint receivedAt{};
  TimePoint expiresAt{};
  /// The end of `JobRequest::exclusiveFor`. The job's runs must be over by
  /// then.
  TimePoint exclusiveUntil = TimePoint::max();
  /// Expected run time of a task.
  Duration expected = Duration::zero();
  /// Until when an answer meets the response time objective, and from when it
  /// has no value.
  TimePoint objectiveAt{};
  TimePoint worthlessAt{};
  /// Jobs with pending tasks are served by their latest start, then by their
  /// sequence number.
  TimePoint latestStart{};
  std::uint64_t sequence = 0;
  std::vector<JobTask> tasks;
  std::size_t pending = 0;
  std::size_t done = 0;
  std::size_t returned = 0;
  /// Whether any task may have been started, here or elsewhere.
  bool hasStarted = false;
  /// When a daemon that had the job before was lost, if one was.
  TimePoint earlierHolderLostAt{};
  /// When the job is abandoned. Set while its submitter can't be reached.
  std::optional<TimePoint> abandonAt;
  /// When the submitter was last lost.
  TimePoint submitterLostAt{};

  /// Set while the next task waits for a report of a worker that has room.
  bool awaitsReport = false;

  bool isOver() const { return done + returned == tasks.size(); }
};

/// Added to a task's run number when another daemon may have started the task
/// under higher numbers. It is more than that daemon has used in most cases.
constexpr std::uint64_t runNumberGap = 8;

/// Returns what to add to a task's run number after this many refusals of it.
/// It doubles with each refusal, so that a few starts make up for any number
/// that another daemon may have reached.
constexpr std::uint64_t
runNumberGapAfter(unsigned refusals)
{
  constexpr unsigned maxDoublings = 24;
  return runNumberGap << (refusals < maxDoublings ? refusals : maxDoublings);
}

/// How long a run may go on after its submitter was last known to be alive. A
/// caller whose connection breaks submits again 1,300 ms later; the difference
/// covers a worker's clock that is 2% slow.
constexpr Duration maxRunAfterContact = std::chrono::milliseconds(1240);

/// How long before a job ceases to be exclusive its runs are stopped. Other
/// runs share the leases of their workers, and these leases then needn't end
/// with the job.
constexpr Duration exclusiveStopMargin = std::chrono::milliseconds(60);

/// No task is started this shortly before its job ceases to be exclusive, as it
/// would soon be stopped.
constexpr Duration exclusiveStartMargin = std::chrono::milliseconds(300);

/// How long the runs of a lost daemon may go on. Their submitter reported
/// itself alive to that daemon until it noticed the loss. The difference to
/// 1,300 ms, after which a caller submits again, covers a worker's clock that
/// is slow.
constexpr Duration maxOrphanedRun = std::chrono::milliseconds(1270);

/// Returns a job that was just received, with all of its tasks pending. An
/// answer later than `worthlessFactor` times the response time objective has no
/// value.
std::unique_ptr<Job>
makeJob(JobRequest request,
        Duration expected,
        double worthlessFactor,
        TimePoint now);

/// Returns how long a job could wait, from its arrival, and still meet its
/// objective.
Duration
slackOf(const Job& job);

/// Returns the work of the job's waiting tasks, in thousandths of a core times
/// microseconds.
double
waitingWork(const Job& job);

/// Returns what the submitter is told when all tasks are done or have been
/// returned. The done tasks are listed because the message that returned the
/// others may have been lost with its connection.
JobEnd
completedEnd(const Job& job);

/// Returns what the submitter is told when the job has to continue elsewhere:
/// which tasks are done, which may be in progress, and which run numbers are
/// free. `workerOf` returns the worker on which a task of a name runs, whoever
/// submitted it.
JobEnd
movedEnd(
  const Job& job,
  const std::function<std::optional<WorkerId>(const std::string&)>& workerOf);

} // namespace cowslippin
