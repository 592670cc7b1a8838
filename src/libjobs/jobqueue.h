#pragma once

#include "job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cowslippin {

/// Jobs with waiting tasks, ordered by the latest time at which they must
/// start; of equal ones the job that was added first comes first. A job must be
/// removed before it is destroyed. While a job is in the queue, the number of
/// its waiting tasks is changed through the queue only, and its shard, latest
/// start, expected run time and needs don't change: the queue keeps sums of
/// them, so that its functions take a short time however many jobs wait.
class JobQueue
{
public:
  /// The place of a job: its latest start and its sequence number.
  using Position = std::pair<TimePoint, std::uint64_t>;
  using Jobs = std::map<Position, Job*>;

  /// Does nothing if the job is in the queue or has no waiting task.
  void add(Job& job);
  void remove(Job& job);
  /// Counts one more waiting task of a job, and adds the job if it isn't in the
  /// queue.
  void addTask(Job& job);
  /// Counts one waiting task less, and removes the job if it was the last.
  void removeTask(Job& job);

  bool isEmpty() const { return m_jobs.empty(); }
  /// Returns the jobs in the order in which they are served. Adding and
  /// removing other jobs leaves an iterator valid.
  const Jobs& jobs() const { return m_jobs; }
  /// Returns the CPU that the smallest waiting task needs, in thousandths of a
  /// core; zero if none waits.
  std::int64_t smallestCpuMillis() const;

  std::size_t waitingTasks() const { return m_waitingTasks; }
  std::size_t waitingTasks(const ShardId& shard) const;

  /// Returns the work that waits on a shard and is served before a job that
  /// must start at `latestStart`, in thousandths of a core times microseconds.
  double workBefore(const ShardId& shard, TimePoint latestStart) const;

private:
  /// The waiting work of the jobs whose latest starts are in the same interval.
  struct Interval
  {
    std::size_t jobs = 0;
    double work = 0;
  };
  struct Shard
  {
    std::size_t waitingTasks = 0;
    /// By the number of the interval since the clock's epoch.
    std::map<std::int64_t, Interval> intervals;
  };

  static std::int64_t intervalOf(TimePoint time);
  void countTasks(const Job& job, std::size_t added, std::size_t removed);

  Jobs m_jobs;
  std::map<ShardId, Shard> m_shards;
  /// The number of jobs by the CPU that one of their tasks needs.
  std::map<std::int64_t, std::size_t> m_jobsByCpu;
  std::size_t m_waitingTasks = 0;
  std::uint64_t m_lastSequence = 0;
};

} // namespace cowslippin
