#pragma once

#include "job.h"

#include <cstdint>
#include <map>

namespace cowslippin {

/// The lines on what becomes of jobs and tasks after a loss, and how often
/// tasks were started again for which cause.
class LossLog
{
public:
  using Counts = std::map<RestartCause, std::uint64_t>;

  /// A start was sent to the task's worker. `previous` had the run before.
  void taskStarted(const Job& job,
                   const JobTask& task,
                   const WorkerId& previous,
                   TimePoint now);

  const Counts& restarts() const { return m_restarts; }

private:
  Counts m_restarts;
};

/// A run that a lost daemon had left was taken into the job.
void
logRunAdopted(const Job& job, const JobTask& task, TimePoint now);

/// A job has come of which a task is done already.
void
logFoundDone(const Job& job, const JobTask& task, TimePoint now);

/// A task is kept from being started while a run of before may be at work.
void
logQuarantined(const Job& job, const JobTask& task, TimePoint now);

/// Such a task is done, or may be started again by its `restartCause`.
void
logQuarantineEnded(const Job& job,
                   const JobTask& task,
                   bool isDone,
                   TimePoint now);

/// The submitter was lost and has not come back.
void
logJobAbandoned(const Job& job, TimePoint now);

/// The submitter no longer wants the job.
void
logJobCancelled(const Job& job, TimePoint now);

/// The submitter was lost and goes on with the job under a new key.
void
logJobReattached(const Job& job, TimePoint now);

} // namespace cowslippin
