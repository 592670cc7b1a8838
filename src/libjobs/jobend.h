#pragma once

#include "crashcounts.h"

#include "libcore/clock.h"
#include "libcore/ids.h"
#include "libcore/shardid.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

/// What a job, or a part of one, has come to.
enum class JobOutcome
{
  /// All its tasks are done or have been returned to the submitter.
  Completed,
  /// A task has failed as often as it may.
  Failed,
  /// Nothing of it has been started, and nothing will be.
  Refused,
  /// Its time is over; whatever ran has been stopped.
  TimedOut,
  /// This daemon no longer holds the workers. Tasks that are not done may be
  /// running under the next holder of the same workers.
  Moved,
  /// This daemon doesn't hold the workers that the job was meant for, and has
  /// done nothing.
  NotHolder,
  /// A worker may still carry out a start that it didn't answer, beyond the
  /// time that the caller waits, and the task can't be started on it. Whatever
  /// ran has been stopped.
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

/// Tasks for which a holder has no room, as another one has or as its zone is
/// evacuated. They have no run; the submitter hands them on, so that it always
/// knows who has what.
struct TasksReturned
{
  std::vector<TaskIndex> tasks;
  /// Who has room, and where; an empty id if the submitter is to choose.
  VmId holder;
  ShardId shard;
  /// Higher than the number of any run so far.
  std::uint64_t nextRun = 1;
  CrashCounts crashes = {};
};

/// A task that may be at work, and where.
struct TaskPlace
{
  TaskIndex task = 0;
  /// Empty if it isn't known.
  WorkerId worker;

  friend bool operator==(const TaskPlace& a, const TaskPlace& b)
  {
    return a.task == b.task && a.worker == b.worker;
  }
  friend bool operator!=(const TaskPlace& a, const TaskPlace& b)
  {
    return !(a == b);
  }
};

/// The end of a job, or of a part of one, as its submitter is told of it.
struct JobEnd
{
  JobOutcome outcome = JobOutcome::Completed;
  /// Of `Refused` and `Unresolved`: when it makes sense to come back.
  Duration retryAfter = Duration::zero();
  /// Of `Moved` and `Completed`: tasks that are done. Returned tasks are not
  /// included.
  std::vector<TaskIndex> done;
  /// Of `Moved` and `Completed`: higher than any run number used so far.
  std::uint64_t nextRun = 1;
  /// Of `Moved`: tasks that may be at work. Others that are not done have no
  /// run and can start at once.
  std::vector<TaskPlace> underWay = {};
  /// Of `Moved` and `Completed`.
  CrashCounts crashes = {};
};

} // namespace cowslippin
