#include "libentry/startwait.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StartWaitTest : public ::testing::Test
{
protected:
  void startEvery(Duration interval, int count)
  {
    for (int i = 0; i < count; ++i) {
      now += interval;
      wait.taskStarted(now);
    }
  }

  TimePoint now{ seconds(100) };
  StartWait wait;
};

/// Guards against refusals on a holder that has nothing to do.
TEST_F(StartWaitTest, IsZeroWithoutWaitingTasks)
{
  EXPECT_EQ(wait.expected(0, now), Duration::zero());
  startEvery(milliseconds(5), 10);
  EXPECT_EQ(wait.expected(0, now + seconds(9)), Duration::zero());
}

/// Guards against an overload that isn't seen: a holder whose event loop was
/// only 80 ms late had tasks that waited for more than a second.
TEST_F(StartWaitTest, FollowsTheRateOfStarts)
{
  startEvery(milliseconds(5), 1000);
  const Duration expected = wait.expected(60, now);
  EXPECT_GE(expected, milliseconds(285));
  EXPECT_LE(expected, milliseconds(315));
}

TEST_F(StartWaitTest, IsBounded)
{
  EXPECT_EQ(wait.expected(1, now), StartWait::maxWait);
  startEvery(milliseconds(5), 1000);
  EXPECT_EQ(wait.expected(1000, now), StartWait::maxWait);
}

} // namespace
} // namespace cowslippin::testing
