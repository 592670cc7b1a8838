#include "libworkers/workers.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

class WorkerHealthTest : public ::testing::Test
{
protected:
  void fail(int count)
  {
    for (int i = 0; i < count; ++i)
      health.runEnded(RunEnd::Failed, 0, now);
  }

  TimePoint now{ std::chrono::seconds(10) };
  WorkerHealth health{ WorkerHealth::Settings() };
};

TEST_F(WorkerHealthTest, OneFailureDoesNotExcludeAWorker)
{
  fail(1);
  EXPECT_TRUE(health.isUsable(2, now));
}

TEST_F(WorkerHealthTest, AFailingWorkerIsExcludedAndThenTriedWithOneTask)
{
  fail(3);
  EXPECT_FALSE(health.isUsable(0, now));
  now += std::chrono::milliseconds(900);
  EXPECT_TRUE(health.isUsable(0, now));
  EXPECT_FALSE(health.isUsable(1, now));
}

TEST_F(WorkerHealthTest, FailingOnProbationExcludesTheWorkerLonger)
{
  fail(3);
  now += std::chrono::milliseconds(900);
  fail(1);
  now += std::chrono::milliseconds(1000);
  EXPECT_FALSE(health.isUsable(0, now));
  now += std::chrono::milliseconds(700);
  EXPECT_TRUE(health.isUsable(0, now));
}

TEST_F(WorkerHealthTest, ASlowWorkerIsExcluded)
{
  for (int i = 0; i < 3; ++i)
    health.runEnded(RunEnd::Done, 6, now);
  EXPECT_FALSE(health.isUsable(0, now));
}

TEST_F(WorkerHealthTest, GoodRunsEndTheProbation)
{
  fail(3);
  now += std::chrono::milliseconds(900);
  for (int i = 0; i < 4; ++i)
    health.runEnded(RunEnd::Done, 1, now);
  EXPECT_TRUE(health.isUsable(2, now));
}

TEST_F(WorkerHealthTest, StoppedRunsDoNotCount)
{
  for (int i = 0; i < 10; ++i)
    health.runEnded(RunEnd::Stopped, 0, now);
  EXPECT_TRUE(health.isUsable(2, now));
}

} // namespace
} // namespace cowslippin::testing
