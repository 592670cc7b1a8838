#include "joblog.h"

#include "libobserve/observe.h"

namespace cowslippin {

namespace {

std::int64_t
milliseconds(Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
    .count();
}

} // namespace

void
logJob(const char* event, const Job& job, const JobEnd* end, TimePoint now)
{
  const JobRequest& request = job.request;
  logEvent(LogLevel::Info,
           event,
           { { "job", request.key.job() },
             { "queue", request.policy.queue },
             { "submitter", request.key.submitter() },
             { "tasks", job.tasks.size() },
             { "done", job.done },
             { "ageMs", milliseconds(now - job.arrivedAt) },
             { "outcome", end ? toString(end->outcome) : "" },
             { "retryAfterMs", end ? milliseconds(end->retryAfter) : 0 } });
}

void
logTaskStarted(const Job& job, const JobTask& task, TimePoint now)
{
  logEvent(LogLevel::Info,
           "task-started",
           { { "job", job.request.key.job() },
             { "task", task.index },
             { "run", task.run },
             { "worker", task.worker },
             { "waitedMs", milliseconds(now - job.arrivedAt) } });
}

void
logTasksReturned(const Job& job, const TasksReturned& returned)
{
  logEvent(LogLevel::Info,
           "tasks-returned",
           { { "job", job.request.key.job() },
             { "tasks", returned.tasks.size() },
             { "holder", returned.holder } });
}

void
logRunEnded(const Job& job, const JobTask& task, RunEnd end, TimePoint now)
{
  logEvent(LogLevel::Info,
           "run-ended",
           { { "job", job.request.key.job() },
             { "task", task.index },
             { "run", task.run },
             { "worker", task.worker },
             { "end", toString(end) },
             { "ranMs", milliseconds(now - task.startedAt) } });
}

void
logStartRejected(const Job& job, const JobTask& task, OrderFailure failure)
{
  logEvent(LogLevel::Warning,
           "start-rejected",
           { { "job", job.request.key.job() },
             { "task", task.index },
             { "run", task.run },
             { "worker", task.worker },
             { "reason", toString(failure) } });
}

void
logRunStalled(const Job& job, const JobTask& task, TimePoint now)
{
  logEvent(LogLevel::Info,
           "run-stalled",
           { { "job", job.request.key.job() },
             { "task", task.index },
             { "run", task.run },
             { "worker", task.worker },
             { "percent", task.percent },
             { "ranMs", milliseconds(now - task.startedAt) },
             { "expectedMs", milliseconds(job.expected) } });
}

} // namespace cowslippin
