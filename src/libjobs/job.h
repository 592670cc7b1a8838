#pragma once

#include "jobend.h"
#include "jobrequest.h"
#include "restartcause.h"

#include "libworkers/runkey.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// Where a task of a job stands.
enum class TaskState
{
  /// To be started as soon as there is room.
  Pending,
  /// A run of it that a lost daemon left behind may still be at work.
  Quarantined,
  /// A run of it is at work on a worker of this daemon, or may be.
  Running,
  /// Returned to the submitter, who hands it to another holder.
  Returned,
  Done,
};

/// One task of a job that this daemon is to get done.
struct JobTask
{
  TaskIndex index = 0;
  TaskState state = TaskState::Pending;
  std::uint64_t nextRun = 1;
  RestartCause restartCause = RestartCause::None;
  unsigned failures = 0;
  /// Workers that were lost while a run of it was at work there.
  unsigned crashes = 0;
  /// Runs that were stopped because they made no progress, and whether the
  /// present one is among them.
  unsigned restarts = 0;
  bool isBeingStopped = false;
  WorkerId worker;
  std::uint64_t run = 0;
  /// Whether the next start has the number of `run`, which was neither seen at
  /// work nor refused, so that the worker takes both for one run.
  bool mayReuseRun = false;
  /// When it was started or, if a lost daemon had done so, found.
  TimePoint startedAt{};
  bool wasFound = false;
  /// Share of its work that the worker last reported, and when that rose.
  int percent = 0;
  TimePoint progressAt{};
  TimePoint quarantinedUntil{};
  /// Where a run of before may be at work; empty if that isn't known.
  WorkerId lastWorker;
  /// Workers on which it failed or stood still.
  std::set<WorkerId> avoided;
};

/// A job, or a part of one, at the daemon that holds the workers for it.
struct Job
{
  JobRequest request;
  /// When the caller's request arrived, by this daemon's clock.
  TimePoint arrivedAt{};
  /// When the job came to this daemon.
  TimePoint receivedAt{};
  TimePoint expiresAt{};
  /// See `JobRequest::exclusiveFor`. Its runs must be over by then.
  TimePoint exclusiveUntil = TimePoint::max();
  /// Expected run time of a task.
  Duration expected = Duration::zero();
  /// When the answer is ideal at the latest, and when it is worth nothing.
  TimePoint objectiveAt{};
  TimePoint worthlessAt{};
  /// Jobs with pending tasks are served in this order.
  TimePoint latestStart{};
  std::uint64_t sequence = 0;
  std::vector<JobTask> tasks;
  std::size_t pending = 0;
  std::size_t done = 0;
  std::size_t returned = 0;
  /// Whether anything of it may have been started, here or elsewhere.
  bool hasStarted = false;
  /// When a daemon that had it before was lost, if one was.
  TimePoint lostAt{};
  /// Set while its submitter can't be reached: when it is given up.
  std::optional<TimePoint> dropAt;
  /// When it was last lost.
  TimePoint submitterLostAt{};

  /// Set while its next task waits for a report of a worker that has room.
  bool isReportDue = false;

  bool isOver() const { return done + returned == tasks.size(); }
};

/// Added to a run's number when another daemon may have started the task under
/// higher numbers: more than it can have used.
constexpr std::uint64_t staleRunStep = 8;

/// How long a run may go on after its submitter was last surely alive. A caller
/// whose connection breaks submits again 1,300 ms later; the rest covers a
/// worker's clock that is 2% slow.
constexpr Duration wantedRunLimit = std::chrono::milliseconds(1240);

/// How long before a job ceases to be exclusive its runs are stopped, so that
/// the leases of their workers, which other runs share, needn't end with them.
constexpr Duration exclusiveMargin = std::chrono::milliseconds(60);

/// Nothing of a job is started so shortly before it ceases to be exclusive: it
/// would be stopped soon.
constexpr Duration exclusiveStartMargin = std::chrono::milliseconds(300);

/// How long runs that a lost daemon left behind may go on. Its submitter has
/// told it of itself until it noticed the loss; the margin is as above.
constexpr Duration lostRunLimit = std::chrono::milliseconds(1270);

Duration
scaled(Duration duration, double factor);

/// A job that has just come, all of its tasks pending. An answer later than
/// `worthlessFactor` times its objective is worth nothing.
std::unique_ptr<Job>
makeJob(JobRequest request,
        Duration expected,
        double worthlessFactor,
        TimePoint now);

/// How long a job could wait, when it arrived, and still be in time.
Duration
slackOf(const Job& job);

/// What the job's waiting tasks take: thousandths of a core times the clock's
/// ticks.
double
waitingWork(const Job& job);

/// How many of the job's tasks run on each worker, if that is limited; else
/// nothing.
std::map<WorkerId, unsigned>
runsPerWorker(const Job& job);

/// What the submitter is told when all tasks are done or have been returned.
/// The done tasks are listed because the message that returned the others may
/// have been lost with its connection.
JobEnd
completedEnd(const Job& job);

/// What the submitter is told when the job has to go on elsewhere: what is
/// done, what may be at work, and which run numbers are free. `workerOf` tells
/// the worker on which a task of a name runs, for whomever.
JobEnd
movedEnd(
  const Job& job,
  const std::function<std::optional<WorkerId>(const std::string&)>& workerOf);

} // namespace cowslippin
