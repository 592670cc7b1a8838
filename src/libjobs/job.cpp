#include "job.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

std::unique_ptr<Job>
makeJob(JobRequest request,
        Duration expected,
        double worthlessFactor,
        TimePoint now)
{
  auto job = std::make_unique<Job>();
  const QueuePolicy& policy = request.policy;
  job->arrivedAt = now - request.age;
  job->receivedAt = now;
  job->expiresAt = now + request.timeLeft;
  if (request.exclusiveFor != Duration::max())
    job->exclusiveUntil = now + request.exclusiveFor;
  job->expected = expected;
  if (request.quarantine)
    job->earlierHolderLostAt = now - request.quarantine->sinceLoss;
  const Duration objective =
    scaled(job->expected, policy.stretch) + policy.target;
  job->objectiveAt = job->arrivedAt + objective;
  job->worthlessAt = job->arrivedAt + scaled(objective, worthlessFactor);
  job->latestStart = job->objectiveAt - job->expected;
  job->hasStarted = request.mayHaveRun;
  for (const TaskIndex index : request.tasks) {
    JobTask task;
    task.index = index;
    task.nextRun = request.firstRun;
    if (request.firstRun > 1)
      task.restartCause = RestartCause::HandedOver;
    const auto crashes = request.crashes.find(index);
    if (crashes != request.crashes.end())
      task.crashes = crashes->second;
    job->tasks.push_back(task);
  }
  job->pending = job->tasks.size();
  job->request = std::move(request);
  return job;
}

Duration
slackOf(const Job& job)
{
  return job.objectiveAt - job.expected - job.arrivedAt;
}

double
waitingWork(const Job& job)
{
  return double(job.pending) * double(job.request.needs.resources.cpuMillis()) *
         double(job.expected.count());
}

JobEnd
completedEnd(const Job& job)
{
  JobEnd end;
  end.nextRun = job.request.firstRun;
  for (const JobTask& task : job.tasks) {
    if (task.crashes > 0)
      end.crashes[task.index] = task.crashes;
    if (task.state == TaskState::Done)
      end.done.push_back(task.index);
    end.nextRun = std::max(end.nextRun, task.nextRun + runNumberGap);
  }
  return end;
}

JobEnd
movedEnd(
  const Job& job,
  const std::function<std::optional<WorkerId>(const std::string&)>& workerOf)
{
  JobEnd end = completedEnd(job);
  end.outcome = JobOutcome::Moved;
  for (const JobTask& task : job.tasks) {
    if (task.state == TaskState::Done || task.state == TaskState::Returned)
      continue;
    if (task.state == TaskState::Quarantined)
      end.activeTasks.push_back({ task.index, task.lastWorker });
    else if (const auto worker = workerOf(job.request.taskName(task.index)))
      end.activeTasks.push_back({ task.index, *worker });
  }
  return end;
}

} // namespace cowslippin
