#include "libworkers/workers.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>
#include <vector>

namespace cowslippin::testing {
namespace {

/// Records runs of tasks whose estimates are off by two fifths either way, one
/// in 33 of which takes 7 times as long.
class WorkerSpeedTest : public ::testing::Test
{
protected:
  void run(WorkerSpeed& worker, double speed, int runs)
  {
    for (int i = 0; i < runs; ++i) {
      double ratio = std::lognormal_distribution<double>(0, 0.4)(random);
      if (std::bernoulli_distribution(0.03)(random))
        ratio *= 7;
      worker.record(ratio / speed);
      usual.record(ratio / speed);
    }
  }

  std::mt19937_64 random{ 1 };
  WorkerSpeed usual{ 1024 };
};

/// Guards against a choice of workers by chance where all are equally fast.
TEST_F(WorkerSpeedTest, WorkersOfOneSpeedAreOfOneClass)
{
  std::vector<WorkerSpeed> workers(30, WorkerSpeed(64));
  int differing = 0;
  for (int round = 0; round < 200; ++round) {
    for (WorkerSpeed& worker : workers) {
      run(worker, 1, 3);
      differing += worker.classAgainst(usual) == SpeedClass::Usual ? 0 : 1;
    }
  }
  // One in 100, of 6,000.
  EXPECT_LT(differing, 60);
}

/// Guards against a worker of less than half the speed of another that is taken
/// for one of the same speed.
TEST_F(WorkerSpeedTest, FastAndSlowWorkersAreToldApartWithinThirtyRuns)
{
  WorkerSpeed slow(64);
  WorkerSpeed fast(64);
  for (int i = 0; i < 30; ++i) {
    run(slow, 0.7, 1);
    run(fast, 1.7, 1);
  }
  EXPECT_EQ(slow.classAgainst(usual), SpeedClass::Slow);
  EXPECT_EQ(fast.classAgainst(usual), SpeedClass::Fast);
}

/// Once the fast workers do nearly all the work, their speed is the usual one.
TEST_F(WorkerSpeedTest, TheOrderRemainsWhenTheFastDoNearlyAllTheWork)
{
  WorkerSpeed slow(64);
  WorkerSpeed fast(64);
  run(slow, 0.7, 64);
  run(fast, 1.7, 2000);
  EXPECT_LT(fast.classAgainst(usual), slow.classAgainst(usual));
}

/// A machine that slows down must not be preferred for long.
TEST_F(WorkerSpeedTest, AWorkerThatSlowsDownIsNoLongerFast)
{
  WorkerSpeed slow(64);
  WorkerSpeed changing(64);
  run(slow, 0.7, 64);
  run(changing, 1.7, 64);
  ASSERT_EQ(changing.classAgainst(usual), SpeedClass::Fast);
  for (int i = 0; i < 64; ++i) {
    run(slow, 0.7, 1);
    run(changing, 0.35, 1);
  }
  EXPECT_NE(changing.classAgainst(usual), SpeedClass::Fast);
}

TEST_F(WorkerSpeedTest, OneRunAndBadRatiosDecideNothing)
{
  WorkerSpeed worker(64);
  WorkerSpeed other(64);
  run(other, 1, 100);
  for (const double ratio : { 0.0,
                              -1.0,
                              std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity() })
    worker.record(ratio);
  EXPECT_EQ(worker.classAgainst(usual), SpeedClass::Usual);
  EXPECT_LE(worker.meanRatio(), 4);
}

} // namespace
} // namespace cowslippin::testing
