#include "libentry/looplag.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

class LoopLagTest : public ::testing::Test
{
protected:
  /// Ticks that each come later than the one before by `interval`.
  void tickEvery(Duration interval, int count)
  {
    for (int i = 0; i < count; ++i) {
      now += interval;
      lag.tick(now);
    }
  }

  TimePoint now{ std::chrono::seconds(100) };
  LoopLag lag{ LoopLag::Settings() };
};

/// Guards against timeouts that are extended, and jobs that are refused, while
/// the daemon keeps up.
TEST_F(LoopLagTest, TicksInTimeAreNoLag)
{
  tickEvery(milliseconds(20), 100);
  EXPECT_EQ(lag.mean(), Duration::zero());
  EXPECT_EQ(lag.recentPeak(), Duration::zero());
}

/// Guards against an overload that is seen only after several turns, as a turn
/// may take half a second.
TEST_F(LoopLagTest, OneLongTurnCountsByItsTime)
{
  tickEvery(milliseconds(20), 10);
  tickEvery(milliseconds(520), 1);
  EXPECT_GT(lag.mean(), milliseconds(450));
  EXPECT_EQ(lag.recentPeak(), milliseconds(500));
}

/// Guards against jobs that are refused for a single short delay, such as that
/// of reading a new configuration.
TEST_F(LoopLagTest, OneShortDelayStaysBelowTheLimitOfTheControl)
{
  tickEvery(milliseconds(20), 10);
  tickEvery(milliseconds(120), 1);
  EXPECT_LT(lag.mean(), milliseconds(80));
  EXPECT_EQ(lag.recentPeak(), milliseconds(100));
}

/// Guards against timeouts that stay long after the loop has recovered.
TEST_F(LoopLagTest, FallsWhenTicksAreInTimeAgain)
{
  tickEvery(milliseconds(520), 3);
  tickEvery(milliseconds(20), 50);
  EXPECT_LT(lag.mean(), milliseconds(5));
  EXPECT_LT(lag.recentPeak(), milliseconds(20));
}

/// Guards against a pause of the process that counts as lag.
TEST_F(LoopLagTest, StartsAnewAfterAReset)
{
  tickEvery(milliseconds(520), 3);
  lag.reset();
  now += std::chrono::seconds(5);
  tickEvery(milliseconds(20), 2);
  EXPECT_EQ(lag.mean(), Duration::zero());
  EXPECT_EQ(lag.recentPeak(), Duration::zero());
}

} // namespace
} // namespace cowslippin::testing
