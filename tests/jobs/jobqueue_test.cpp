#include "libjobs/jobqueue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace cowslippin::testing {
namespace {

constexpr TimePoint start{ std::chrono::seconds(1000) };

Job
jobThatMustStart(std::chrono::milliseconds inMs, std::size_t pending)
{
  Job job;
  job.latestStart = start + inMs;
  job.pending = pending;
  job.expected = std::chrono::microseconds(10);
  job.request.needs.resources = Resources(2000, 1, 0);
  job.request.shard = ShardId(ZoneName("z1"), 0);
  return job;
}

class JobQueueTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    queue.add(late);
    queue.add(soon);
    queue.add(alsoSoon);
  }

  std::vector<Job*> served() const
  {
    std::vector<Job*> jobs;
    for (const auto& [position, job] : queue.jobs())
      jobs.push_back(job);
    return jobs;
  }

  Job late = jobThatMustStart(std::chrono::milliseconds(50), 3);
  Job soon = jobThatMustStart(std::chrono::milliseconds(20), 1);
  Job alsoSoon = jobThatMustStart(std::chrono::milliseconds(20), 2);
  JobQueue queue;
};

TEST_F(JobQueueTest, ServesTheEarliestStartFirstThenTheLongestWaiting)
{
  EXPECT_EQ(served(), (std::vector<Job*>{ &soon, &alsoSoon, &late }));
}

TEST_F(JobQueueTest, AddsAJobOnceAndOnlyIfATaskWaits)
{
  queue.add(late);
  Job started = jobThatMustStart(std::chrono::milliseconds(1), 0);
  queue.add(started);
  EXPECT_EQ(queue.jobs().size(), 3U);
}

TEST_F(JobQueueTest, AJobAddedAgainComesAfterItsEquals)
{
  queue.remove(soon);
  queue.remove(soon);
  EXPECT_EQ(served(), (std::vector<Job*>{ &alsoSoon, &late }));
  queue.add(soon);
  EXPECT_EQ(served(), (std::vector<Job*>{ &alsoSoon, &soon, &late }));
}

TEST_F(JobQueueTest, CountsWaitingTasksByShard)
{
  Job elsewhere = jobThatMustStart(std::chrono::milliseconds(30), 7);
  elsewhere.request.shard = ShardId(ZoneName("z1"), 1);
  queue.add(elsewhere);
  EXPECT_EQ(queue.waitingTasks(), 13U);
  EXPECT_EQ(queue.waitingTasks(late.request.shard), 6U);
  EXPECT_EQ(queue.waitingTasks(elsewhere.request.shard), 7U);
}

TEST_F(JobQueueTest, CountsTheWorkThatIsServedBefore)
{
  const double perTask = 2000 * double(late.expected.count());
  const ShardId shard = late.request.shard;
  EXPECT_EQ(queue.workBefore(shard, soon.latestStart), 3 * perTask);
  EXPECT_EQ(queue.workBefore(shard, late.latestStart), 6 * perTask);
  EXPECT_EQ(queue.workBefore(shard, start), 0);
}

TEST_F(JobQueueTest, AJobLeavesWithItsLastTask)
{
  queue.removeTask(soon);
  EXPECT_EQ(served(), (std::vector<Job*>{ &alsoSoon, &late }));
  queue.addTask(soon);
  EXPECT_EQ(served(), (std::vector<Job*>{ &alsoSoon, &soon, &late }));
  EXPECT_EQ(queue.waitingTasks(), 6U);
}

/// Guards against sums that no longer are those of the waiting jobs, by which
/// jobs would be refused, or would wait although there is room.
TEST(JobQueueSums, AreThoseOfTheJobsAfterAnyChanges)
{
  constexpr int jobCount = 60;
  constexpr int changes = 5000;
  std::mt19937_64 random(20261204);
  const auto below = [&random](std::uint64_t limit) {
    return random() % limit;
  };
  std::vector<Job> jobs;
  for (int i = 0; i < jobCount; ++i) {
    Job job = jobThatMustStart(std::chrono::milliseconds(below(200)), below(4));
    job.request.shard = ShardId(ZoneName("z1"), below(3));
    job.request.needs.resources =
      Resources(13000 + std::int64_t(below(6000)), 1, 0);
    job.expected = Duration(50'000 + std::int64_t(below(100'000)));
    jobs.push_back(job);
  }
  JobQueue queue;
  for (int change = 0; change < changes; ++change) {
    Job& job = jobs[below(jobCount)];
    switch (below(4)) {
      case 0:
        queue.add(job);
        break;
      case 1:
        queue.remove(job);
        break;
      case 2:
        queue.addTask(job);
        break;
      default:
        if (job.pending > 0)
          queue.removeTask(job);
    }
    const ShardId shard(ZoneName("z1"), below(3));
    const TimePoint latestStart = start + std::chrono::milliseconds(below(220));
    std::size_t tasks = 0;
    std::size_t shardTasks = 0;
    double work = 0;
    std::int64_t smallest = 0;
    for (const auto& [position, queued] : queue.jobs()) {
      const std::int64_t cpu = queued->request.needs.resources.cpuMillis();
      smallest = smallest == 0 ? cpu : std::min(smallest, cpu);
      tasks += queued->pending;
      if (queued->request.shard != shard)
        continue;
      shardTasks += queued->pending;
      if (queued->latestStart <= latestStart)
        work += waitingWork(*queued);
    }
    ASSERT_EQ(queue.waitingTasks(), tasks);
    ASSERT_EQ(queue.waitingTasks(shard), shardTasks);
    ASSERT_EQ(queue.workBefore(shard, latestStart), work);
    ASSERT_EQ(queue.smallestCpuMillis(), smallest);
  }
}

} // namespace
} // namespace cowslippin::testing
