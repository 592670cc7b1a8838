#pragma once

#include "crashcounts.h"

#include "libcore/clock.h"
#include "libcore/ids.h"
#include "libcore/shardid.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

/// How a job, or a part of one, has ended.
enum class JobOutcome
{
  /// All tasks are done or have been returned to the submitter.
  Completed,
  /// A task has failed as often as its queue allows, or too many workers were
  /// lost during its runs.
  Failed,
  /// No task has been started, and none will be.
  Refused,
  /// The job's time is over. Its runs have been stopped.
  TimedOut,
  /// The job has to continue elsewhere, as when this daemon no longer holds the
  /// workers. Tasks that are not done may be running under the next holder of
  /// the same workers.
  Moved,
  /// This daemon doesn't hold the shard that the job was meant for and has done
  /// nothing.
  NotHolder,
  /// A worker may still carry out a start that it didn't answer, beyond the
  /// time that the caller waits, and the task can't be started on that worker.
  /// The job's runs have been stopped.
  Unresolved,
};

inline const char*
toString(JobOutcome outcome)
{
  switch (outcome) {
    case JobOutcome::Completed:
      return "completed";
    case JobOutcome::Failed:
      return "failed";
    case JobOutcome::Refused:
      return "refused";
    case JobOutcome::TimedOut:
      return "timed-out";
    case JobOutcome::Moved:
      return "moved";
    case JobOutcome::NotHolder:
      return "not-holder";
    case JobOutcome::Unresolved:
      return "unresolved";
  }
  return "unknown";
}

/// Tasks that a holder returns to the submitter, as another holder has room for
/// them or as its own zone is being evacuated. They have no run. The submitter
/// hands them on, so that it always knows which holder has which task.
struct TasksReturned
{
  std::vector<TaskIndex> tasks;
  /// The holder and the shard that have room; an empty id if the submitter is
  /// to choose.
  VmId holder;
  ShardId shard;
  /// Higher than any run number used so far.
  std::uint64_t nextRun = 1;
  CrashCounts crashes = {};
};

/// A task that may be in progress, and its worker.
struct TaskLocation
{
  TaskIndex task = 0;
  /// Empty if the worker isn't known.
  WorkerId worker;

  friend bool operator==(const TaskLocation& a, const TaskLocation& b)
  {
    return a.task == b.task && a.worker == b.worker;
  }
  friend bool operator!=(const TaskLocation& a, const TaskLocation& b)
  {
    return !(a == b);
  }
};

/// The end of a job, or of a part of one, as reported to its submitter.
struct JobEnd
{
  JobOutcome outcome = JobOutcome::Completed;
  /// For `Refused` and `Unresolved`: the delay after which the caller should
  /// retry.
  Duration retryAfter = Duration::zero();
  /// For `Moved` and `Completed`: tasks that are done. Returned tasks are not
  /// included.
  std::vector<TaskIndex> done;
  /// For `Moved` and `Completed`: higher than any run number used so far.
  std::uint64_t nextRun = 1;
  /// For `Moved`: tasks that may be in progress. Other tasks that are not done
  /// have no run and can start at once.
  std::vector<TaskLocation> activeTasks = {};
  /// For `Moved` and `Completed`.
  CrashCounts crashes = {};
};

} // namespace cowslippin
