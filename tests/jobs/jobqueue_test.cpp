#include "libjobs/jobqueue.h"

#include <gtest/gtest.h>

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

  Job late = jobThatMustStart(std::chrono::milliseconds(50), 3);
  Job soon = jobThatMustStart(std::chrono::milliseconds(20), 1);
  Job alsoSoon = jobThatMustStart(std::chrono::milliseconds(20), 2);
  JobQueue queue;
};

TEST_F(JobQueueTest, ServesTheEarliestStartFirstThenTheLongestWaiting)
{
  EXPECT_EQ(queue.jobs(), (std::vector<Job*>{ &soon, &alsoSoon, &late }));
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
  EXPECT_EQ(queue.jobs(), (std::vector<Job*>{ &alsoSoon, &late }));
  queue.add(soon);
  EXPECT_EQ(queue.jobs(), (std::vector<Job*>{ &alsoSoon, &soon, &late }));
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

} // namespace
} // namespace cowslippin::testing
