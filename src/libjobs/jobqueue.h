#pragma once

#include "job.h"

#include <map>
#include <utility>
#include <vector>

namespace cowslippin {

/// Jobs with waiting tasks, ordered by the latest time at which they must
/// start; of equal ones the job that was added first comes first. A job must be
/// removed before it is destroyed.
class JobQueue
{
public:
  /// Does nothing if the job is in the queue or has no waiting task.
  void add(Job& job);
  void remove(Job& job);

  /// Returns the jobs in the order in which they are served.
  std::vector<Job*> jobs() const;

  std::size_t waitingTasks() const;
  std::size_t waitingTasks(const ShardId& shard) const;

  /// Returns the work that waits on a shard and is served before a job that
  /// must start at `latestStart`, in thousandths of a core times microseconds.
  double workBefore(const ShardId& shard, TimePoint latestStart) const;

private:
  using Position = std::pair<TimePoint, std::uint64_t>;

  std::map<Position, Job*> m_jobs;
  std::uint64_t m_lastSequence = 0;
};

} // namespace cowslippin
