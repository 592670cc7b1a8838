#include "joblog.h"

#include "libobserve/observe.h"

namespace cowslippin {

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
             { "ageMs", toMilliseconds(now - job.arrivedAt) },
             { "outcome", end ? toString(end->outcome) : "" },
             { "retryAfterMs", end ? toMilliseconds(end->retryAfter) : 0 } });
}

void
logJobMoved(const Job& job, const JobEnd& end, TimePoint now)
{
  logDecision(LogLevel::Info,
              "job-moved",
              { { "job", job.request.key.job() },
                { "submitter", job.request.key.submitter() },
                { "shard", job.request.shard.toString() },
                { "tasks", job.tasks.size() },
                { "done", job.done },
                { "underWay", end.activeTasks.size() },
                { "nextRun", end.nextRun },
                { "ageMs", toMilliseconds(now - job.arrivedAt) } });
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
             { "token", task.token },
             { "waitedMs", toMilliseconds(now - job.arrivedAt) } });
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
             { "ranMs", toMilliseconds(now - task.startedAt) } });
}

void
logTaskCrashed(const Job& job, const JobTask& task)
{
  logDecision(LogLevel::Warning,
              "worker-lost-with-task",
              { { "job", job.request.key.job() },
                { "task", task.index },
                { "run", task.run },
                { "worker", task.worker },
                { "crashes", task.crashes } });
}

void
logContactLost(const Job& job, Duration age)
{
  logEvent(LogLevel::Warning,
           "submitter-late",
           { { "job", job.request.key.job() },
             { "submitter", job.request.key.submitter() },
             { "contactAgeMs", toMilliseconds(age) } });
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
             { "token", task.token },
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
             { "ranMs", toMilliseconds(now - task.startedAt) },
             { "expectedMs", toMilliseconds(job.expected) } });
}

} // namespace cowslippin
