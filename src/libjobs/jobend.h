#pragma once

#include "libcore/clock.h"
#include "libcore/ids.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

/// What a job, or a part of one, has come to.
enum class JobOutcome
{
  /// All its tasks are done.
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
  }
  return "unknown";
}

/// The end of a job, or of a part of one, as its submitter is told of it.
struct JobEnd
{
  JobOutcome outcome = JobOutcome::Completed;
  /// Of a refusal: when it makes sense to come back.
  Duration retryAfter = Duration::zero();
  /// Of `Moved`: tasks that are done.
  std::vector<TaskIndex> done;
  /// Of `Moved`: tasks that yet another daemon may be running; asking the next
  /// holder of these workers doesn't find them.
  std::vector<TaskIndex> elsewhere;
  /// Of `Moved`: higher than the number of any run so far.
  std::uint64_t nextRun = 1;
};

} // namespace cowslippin
