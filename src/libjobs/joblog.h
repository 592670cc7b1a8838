#pragma once

#include "job.h"
#include "jobend.h"

#include "libworkers/workerorder.h"

namespace cowslippin {

/// The lines that the scheduler logs. Each has the job's id as `job`; times are
/// in milliseconds.

/// A decision on a whole job: accepted, refused, ended and the like. `end` may
/// be null.
void
logJob(const char* event, const Job& job, const JobEnd* end, TimePoint now);

/// The submitter is told to hand the job to another holder.
void
logJobMoved(const Job& job, const JobEnd& end, TimePoint now);

/// The first start was sent to the task's worker.
void
logTaskStarted(const Job& job, const JobTask& task, TimePoint now);

/// Tasks went back to the submitter, to be handed to another holder.
void
logTasksReturned(const Job& job, const TasksReturned& returned);

/// A run ended, but not done.
void
logRunEnded(const Job& job, const JobTask& task, RunEnd end, TimePoint now);

/// The task's worker was lost with its run.
void
logTaskCrashed(const Job& job, const JobTask& task);

/// The submitter was not heard in time and is told that it has the job again.
void
logContactLost(const Job& job, Duration age);

void
logStartRejected(const Job& job, const JobTask& task, OrderFailure failure);

/// A run is stopped, as it has made no progress.
void
logRunStalled(const Job& job, const JobTask& task, TimePoint now);

} // namespace cowslippin
