#pragma once

#include "job.h"

#include <map>
#include <utility>
#include <vector>

namespace cowslippin {

/// Jobs with tasks that wait for room: the one that must start soonest comes
/// first, of equal ones the one that has waited longer. A job must be removed
/// before it is destroyed.
class JobQueue
{
public:
  /// Changes nothing if the job is in the queue or none of its tasks waits.
  void add(Job& job);
  void remove(Job& job);

  /// In the order in which they are to be served.
  std::vector<Job*> jobs() const;

  std::size_t waitingTasks() const;
  std::size_t waitingTasks(const ShardId& shard) const;

  /// Work that waits on a shard and is served before a job that must start at
  /// `latestStart`: thousandths of a core times the clock's ticks.
  double workBefore(const ShardId& shard, TimePoint latestStart) const;

private:
  using Position = std::pair<TimePoint, std::uint64_t>;

  std::map<Position, Job*> m_jobs;
  std::uint64_t m_lastSequence = 0;
};

} // namespace cowslippin
