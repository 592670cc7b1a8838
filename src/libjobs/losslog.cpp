#include "losslog.h"

#include "joblog.h"

#include "libobserve/observe.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Returns -1 if no daemon that had the job was lost.
std::int64_t
sinceLossMs(const Job& job, TimePoint now)
{
  return job.earlierHolderLostAt == TimePoint()
           ? -1
           : toMilliseconds(now - job.earlierHolderLostAt);
}

std::ptrdiff_t
runCount(const Job& job)
{
  return std::count_if(
    job.tasks.begin(), job.tasks.end(), [](const JobTask& task) {
      return task.state == TaskState::Running;
    });
}

} // namespace

void
LossLog::taskStarted(const Job& job,
                     const JobTask& task,
                     const WorkerId& previous,
                     TimePoint now)
{
  if (task.restartCause == RestartCause::None) {
    logTaskStarted(job, task, now);
    return;
  }
  ++m_restarts[task.restartCause];
  logDecision(LogLevel::Info,
              "task-restarted",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "run", task.run },
                { "worker", task.worker },
                { "token", task.token },
                { "previousWorker", previous },
                { "cause", toString(task.restartCause) },
                { "sinceLossMs", sinceLossMs(job, now) },
                { "waitedMs", toMilliseconds(now - job.arrivedAt) } });
}

void
logRunAdopted(const Job& job, const JobTask& task, TimePoint now)
{
  logDecision(LogLevel::Info,
              "run-adopted",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "run", task.run },
                { "worker", task.worker },
                { "sinceLossMs", sinceLossMs(job, now) } });
}

void
logFoundDone(const Job& job, const JobTask& task, TimePoint now)
{
  logDecision(LogLevel::Info,
              "task-found-done",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "sinceLossMs", sinceLossMs(job, now) } });
}

void
logQuarantined(const Job& job, const JobTask& task, TimePoint now)
{
  logDecision(LogLevel::Info,
              "task-quarantined",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "lastWorker", task.lastWorker },
                { "sinceLossMs", sinceLossMs(job, now) },
                { "leftMs", toMilliseconds(task.quarantinedUntil - now) } });
}

void
logQuarantineEnded(const Job& job,
                   const JobTask& task,
                   bool isDone,
                   TimePoint now)
{
  logDecision(LogLevel::Info,
              "quarantine-ended",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "lastWorker", task.lastWorker },
                { "cause", isDone ? "done" : toString(task.restartCause) },
                { "sinceLossMs", sinceLossMs(job, now) } });
}

void
logJobAbandoned(const Job& job, TimePoint now)
{
  logDecision(LogLevel::Warning,
              "job-abandoned",
              { { "job", job.request.key.job() },
                { "submitter", job.request.key.submitter() },
                { "waitedMs", toMilliseconds(now - job.submitterLostAt) },
                { "stoppedRuns", runCount(job) },
                { "tasks", job.tasks.size() },
                { "done", job.done },
                { "ageMs", toMilliseconds(now - job.arrivedAt) } });
}

void
logJobCancelled(const Job& job, TimePoint now)
{
  logDecision(LogLevel::Info,
              "job-cancelled",
              { { "job", job.request.key.job() },
                { "submitter", job.request.key.submitter() },
                { "stoppedRuns", runCount(job) },
                { "tasks", job.tasks.size() },
                { "done", job.done },
                { "ageMs", toMilliseconds(now - job.arrivedAt) } });
}

void
logRunStopped(const Job& job,
              const JobTask& task,
              StopCause cause,
              TimePoint now)
{
  logDecision(LogLevel::Info,
              "run-stopped",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "run", task.run },
                { "worker", task.worker },
                { "cause", toString(cause) },
                { "ranMs", toMilliseconds(now - task.startedAt) },
                { "ageMs", toMilliseconds(now - job.arrivedAt) } });
}

void
logJobReattached(const Job& job, TimePoint now)
{
  logDecision(LogLevel::Info,
              "job-reattached",
              { { "job", job.request.key.job() },
                { "submitter", job.request.key.submitter() },
                { "waitedMs", toMilliseconds(now - job.submitterLostAt) },
                { "runs", runCount(job) } });
}

} // namespace cowslippin
