#include "libworkers/workers.h"

#include <gtest/gtest.h>

#include <random>

namespace cowslippin::testing {
namespace {

class SpeedReferenceTest : public ::testing::Test
{
protected:
  void run(WorkerSpeed& worker, const std::string& label, double slowness)
  {
    const double ratio =
      std::lognormal_distribution<double>(0, 0.4)(random) * slowness;
    worker.record(ratio);
    speeds.record({ label, "all" }, ratio);
  }

  SpeedClass classOf(const WorkerSpeed& worker, const std::string& label) const
  {
    return speeds.estimate(worker, { label, "all" }).speedClass;
  }

  std::mt19937_64 random{ 1 };
  SpeedReference speeds;
};

/// Guards against a holder that has to learn the speed of each worker anew
/// after a shard has moved.
TEST_F(SpeedReferenceTest, ANewWorkerIsJudgedByItsKind)
{
  WorkerSpeed slow(64);
  WorkerSpeed fast(64);
  for (int i = 0; i < 60; ++i) {
    run(slow, "b", 1.7);
    run(fast, "a", 0.7);
  }
  EXPECT_EQ(classOf(WorkerSpeed(64), "a"), SpeedClass::Fast);
  EXPECT_EQ(classOf(WorkerSpeed(64), "b"), SpeedClass::Slow);
  EXPECT_EQ(classOf(WorkerSpeed(64), "c"), SpeedClass::Usual);
  EXPECT_LT(speeds.estimate(slow, { "b" }).factor, 0.8);
  EXPECT_GT(speeds.estimate(fast, { "a" }).factor, 1.25);
}

/// Guards against a slow worker that is preferred because others of its kind
/// are fast.
TEST_F(SpeedReferenceTest, AWorkersOwnRunsCountMoreThanItsKind)
{
  WorkerSpeed slow(64);
  WorkerSpeed fast(64);
  WorkerSpeed slowed(64);
  for (int i = 0; i < 200; ++i) {
    run(slow, "b", 1.7);
    run(fast, "a", 0.7);
  }
  for (int i = 0; i < 40; ++i)
    run(slowed, "a", 1.7);
  EXPECT_EQ(classOf(slowed, "a"), SpeedClass::Slow);
}

/// Guards against labels without end, such as names of racks.
TEST_F(SpeedReferenceTest, TooManyLabelsAreIgnored)
{
  for (std::size_t i = 0; i < 2 * SpeedReference::maxLabels; ++i) {
    WorkerSpeed worker(64);
    for (int runs = 0; runs < 10; ++runs)
      run(worker, std::to_string(i), i % 2 == 0 ? 0.5 : 2);
  }
  const std::string last = std::to_string(2 * SpeedReference::maxLabels - 1);
  EXPECT_EQ(classOf(WorkerSpeed(64), last), SpeedClass::Usual);
}

} // namespace
} // namespace cowslippin::testing
