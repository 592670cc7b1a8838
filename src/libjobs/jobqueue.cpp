#include "jobqueue.h"

namespace cowslippin {

namespace {

/// Length of the intervals for which the waiting work is summed. Most jobs must
/// start within the next second, in some 60 intervals.
constexpr Duration intervalLength = std::chrono::milliseconds(16);

/// The work of one task, in thousandths of a core times microseconds.
double
taskWork(const Job& job)
{
  return double(job.request.needs.resources.cpuMillis()) *
         double(job.expected.count());
}

} // namespace

void
JobQueue::add(Job& job)
{
  if (job.pending == 0 || job.sequence != 0)
    return;
  job.sequence = ++m_lastSequence;
  m_jobs.emplace(Position(job.latestStart, job.sequence), &job);
  ++m_jobsByCpu[job.request.needs.resources.cpuMillis()];
  ++m_shards[job.request.shard].intervals[intervalOf(job.latestStart)].jobs;
  countTasks(job, job.pending, 0);
}

void
JobQueue::remove(Job& job)
{
  if (job.sequence == 0)
    return;
  m_jobs.erase(Position(job.latestStart, job.sequence));
  job.sequence = 0;
  const auto cpu = m_jobsByCpu.find(job.request.needs.resources.cpuMillis());
  if (--cpu->second == 0)
    m_jobsByCpu.erase(cpu);
  countTasks(job, 0, job.pending);
  // An interval without jobs is removed, so that rounding errors don't add up.
  const auto shard = m_shards.find(job.request.shard);
  const auto interval =
    shard->second.intervals.find(intervalOf(job.latestStart));
  if (--interval->second.jobs == 0)
    shard->second.intervals.erase(interval);
  if (shard->second.intervals.empty())
    m_shards.erase(shard);
}

void
JobQueue::addTask(Job& job)
{
  ++job.pending;
  if (job.sequence == 0)
    add(job);
  else
    countTasks(job, 1, 0);
}

void
JobQueue::removeTask(Job& job)
{
  if (job.sequence != 0)
    countTasks(job, 0, 1);
  --job.pending;
  if (job.pending == 0)
    remove(job);
}

std::int64_t
JobQueue::smallestCpuMillis() const
{
  return m_jobsByCpu.empty() ? 0 : m_jobsByCpu.begin()->first;
}

std::size_t
JobQueue::waitingTasks(const ShardId& shard) const
{
  const auto found = m_shards.find(shard);
  return found == m_shards.end() ? 0 : found->second.waitingTasks;
}

double
JobQueue::workBefore(const ShardId& shard, TimePoint latestStart) const
{
  const auto found = m_shards.find(shard);
  if (found == m_shards.end())
    return 0;
  const std::int64_t last = intervalOf(latestStart);
  double work = 0;
  for (const auto& [number, interval] : found->second.intervals) {
    if (number >= last)
      break;
    work += interval.work;
  }
  const TimePoint lastFrom{ intervalLength * last };
  for (auto job = m_jobs.lower_bound(Position(lastFrom, 0));
       job != m_jobs.end() && job->first.first <= latestStart;
       ++job) {
    if (job->second->request.shard == shard)
      work += waitingWork(*job->second);
  }
  return work;
}

/// The number of the interval that contains a time. Rounds down, also before
/// the clock's epoch.
std::int64_t
JobQueue::intervalOf(TimePoint time)
{
  const std::int64_t sinceEpoch = time.time_since_epoch().count();
  const std::int64_t length = intervalLength.count();
  return sinceEpoch / length - (sinceEpoch % length < 0 ? 1 : 0);
}

/// Changes the sums for tasks of a job that is in the queue.
void
JobQueue::countTasks(const Job& job, std::size_t added, std::size_t removed)
{
  Shard& shard = m_shards[job.request.shard];
  shard.waitingTasks += added;
  shard.waitingTasks -= removed;
  m_waitingTasks += added;
  m_waitingTasks -= removed;
  shard.intervals[intervalOf(job.latestStart)].work +=
    taskWork(job) * (double(added) - double(removed));
}

} // namespace cowslippin
