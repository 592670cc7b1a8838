#include "libplatform/platform.h"

#include <gtest/gtest.h>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint(seconds(1000));

TEST(AppendBudget, AllowsTheBurstAndThenTheRate)
{
  AppendBudget budget(100, 3, start);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(budget.take(start));
  }
  EXPECT_FALSE(budget.take(start));
  EXPECT_EQ(budget.wait(start), milliseconds(10));
  EXPECT_FALSE(budget.take(start + milliseconds(9)));
  EXPECT_TRUE(budget.take(start + milliseconds(10)));
}

TEST(AppendBudget, WaitingAsLongAsToldIsEnough)
{
  AppendBudget budget(333, 1, start);
  TimePoint now = start;
  for (int i = 0; i < 1000; ++i) {
    ASSERT_TRUE(budget.take(now));
    now += budget.wait(now);
  }
  const auto elapsed = std::chrono::duration<double>(now - start).count();
  EXPECT_NEAR(1000 / elapsed, 333, 1);
}

TEST(AppendBudget, SavesNoMoreThanTheBurst)
{
  AppendBudget budget(100, 2, start);
  const TimePoint later = start + seconds(60);
  EXPECT_TRUE(budget.take(later));
  EXPECT_TRUE(budget.take(later));
  EXPECT_FALSE(budget.take(later));
}

TEST(AppendBudget, AClockThatGoesBackGivesNothing)
{
  AppendBudget budget(100, 1, start);
  EXPECT_TRUE(budget.take(start));
  EXPECT_FALSE(budget.take(start - seconds(5)));
  EXPECT_FALSE(budget.take(start + milliseconds(9)));
  EXPECT_TRUE(budget.take(start + milliseconds(10)));
}

} // namespace

} // namespace cowslippin
