#pragma once

#include "job.h"

#include "libworkers/stopcause.h"

#include <cstdint>
#include <map>

namespace cowslippin {

/// Logs what happens to jobs and tasks after a loss, and counts by cause how
/// often tasks were started again.
class LossLog
{
public:
  using Counts = std::map<RestartCause, std::uint64_t>;

  /// Records that a start was sent to the task's worker. `previous` is the
  /// worker of the run before.
  void taskStarted(const Job& job,
                   const JobTask& task,
                   const WorkerId& previous,
                   TimePoint now);

  const Counts& restartCounts() const { return m_restarts; }

private:
  Counts m_restarts;
};

/// Logs that an orphaned run was adopted into the job.
void
logRunAdopted(const Job& job, const JobTask& task, TimePoint now);

/// Logs that a task of a new job was found to be done already.
void
logFoundDone(const Job& job, const JobTask& task, TimePoint now);

/// Logs that a task is kept from being started while an earlier run may be in
/// progress.
void
logQuarantined(const Job& job, const JobTask& task, TimePoint now);

/// Logs that a quarantined task is done, or may be started again for its
/// `restartCause`.
void
logQuarantineEnded(const Job& job,
                   const JobTask& task,
                   bool isDone,
                   TimePoint now);

/// Logs that a job is dropped because its submitter was lost and has not come
/// back.
void
logJobAbandoned(const Job& job, TimePoint now);

/// Logs that the submitter no longer wants the job.
void
logJobCancelled(const Job& job, TimePoint now);

/// Logs that the stop of a run was sent, and why.
void
logRunStopped(const Job& job,
              const JobTask& task,
              StopCause cause,
              TimePoint now);

/// Logs that the submitter was lost and continues the job under a new key.
void
logJobReattached(const Job& job, TimePoint now);

} // namespace cowslippin
