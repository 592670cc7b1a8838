#include "jobqueue.h"

namespace cowslippin {

void
JobQueue::add(Job& job)
{
  if (job.pending == 0 || job.sequence != 0)
    return;
  job.sequence = ++m_lastSequence;
  m_jobs.emplace(Position(job.latestStart, job.sequence), &job);
}

void
JobQueue::remove(Job& job)
{
  if (job.sequence == 0)
    return;
  m_jobs.erase(Position(job.latestStart, job.sequence));
  job.sequence = 0;
}

std::vector<Job*>
JobQueue::jobs() const
{
  std::vector<Job*> jobs;
  jobs.reserve(m_jobs.size());
  for (const auto& [position, job] : m_jobs)
    jobs.push_back(job);
  return jobs;
}

std::size_t
JobQueue::waitingTasks() const
{
  std::size_t count = 0;
  for (const auto& [position, job] : m_jobs)
    count += job->pending;
  return count;
}

std::size_t
JobQueue::waitingTasks(const ShardId& shard) const
{
  std::size_t count = 0;
  for (const auto& [position, job] : m_jobs)
    count += job->request.shard == shard ? job->pending : 0;
  return count;
}

double
JobQueue::workBefore(const ShardId& shard, TimePoint latestStart) const
{
  double work = 0;
  for (const auto& [position, job] : m_jobs) {
    if (position.first > latestStart)
      break;
    if (job->request.shard == shard)
      work += waitingWork(*job);
  }
  return work;
}

} // namespace cowslippin
