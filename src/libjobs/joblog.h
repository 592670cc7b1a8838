#pragma once

#include "job.h"
#include "jobend.h"

#include "libworkers/workerorder.h"

namespace cowslippin {

/// The scheduler's log events. Each has the job's id in the field `job`; times
/// are in milliseconds.

/// Logs a decision on a whole job: accepted, refused, ended and the like. `end`
/// may be null.
void
logJob(const char* event, const Job& job, const JobEnd* end, TimePoint now);

/// Logs that the submitter is told to hand the job to another holder.
void
logJobMoved(const Job& job, const JobEnd& end, TimePoint now);

/// Logs that the first start was sent to the task's worker.
void
logTaskStarted(const Job& job, const JobTask& task, TimePoint now);

/// Logs that tasks were returned to the submitter, which hands them to another
/// holder.
void
logTasksReturned(const Job& job, const TasksReturned& returned);

/// Logs that a run ended without completing its task.
void
logRunEnded(const Job& job, const JobTask& task, RunEnd end, TimePoint now);

/// Logs that the task's worker was lost during its run.
void
logTaskCrashed(const Job& job, const JobTask& task);

/// Logs that no message of the submitter was received in time and that the job
/// is returned to it.
void
logContactLost(const Job& job, Duration age);

void
logStartRejected(const Job& job, const JobTask& task, OrderFailure failure);

/// Logs that a run is stopped because it has made no progress.
void
logRunStalled(const Job& job, const JobTask& task, TimePoint now);

} // namespace cowslippin
