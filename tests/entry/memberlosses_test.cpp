#include "libentry/memberlosses.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

class MemberLossesTest : public ::testing::Test
{
protected:
  void lose(int count)
  {
    for (int i = 0; i < count; ++i)
      losses.lost(VmId("vm-" + std::to_string(i)), now);
  }

  TimePoint now{ seconds(100) };
  MemberLosses losses;
};

/// Guards against a daemon alone from the start that ends all its long jobs.
TEST_F(MemberLossesTest, WithoutALossNobodyIsCutOff)
{
  EXPECT_FALSE(losses.isCutOff(1, now));
}

/// Guards against a smaller part whose jobs run on while their callers submit
/// them in the larger one.
TEST_F(MemberLossesTest, TheSmallerPartIsCutOff)
{
  lose(3);
  EXPECT_TRUE(losses.isCutOff(2, now));
}

/// Guards against halves that each take the other for lost.
TEST_F(MemberLossesTest, EachOfTwoEqualPartsIsCutOff)
{
  lose(2);
  EXPECT_TRUE(losses.isCutOff(2, now));
}

/// Guards against jobs that end wherever one daemon of many is lost.
TEST_F(MemberLossesTest, TheLargerPartIsNotCutOff)
{
  lose(2);
  EXPECT_FALSE(losses.isCutOff(3, now));
}

/// Guards against a group that counts a daemon's losses rather than daemons.
TEST_F(MemberLossesTest, ADaemonThatIsLostTwiceCountsOnce)
{
  lose(1);
  lose(1);
  EXPECT_FALSE(losses.isCutOff(2, now));
}

/// Guards against a group that is whole again and goes on as if it weren't.
TEST_F(MemberLossesTest, WhoIsBackNoLongerCounts)
{
  lose(2);
  losses.back(VmId("vm-0"));
  EXPECT_FALSE(losses.isCutOff(2, now));
}

/// Guards against a group that has shrunk for good and never keeps a long job.
TEST_F(MemberLossesTest, WhoStaysAwayIsTakenToHaveEnded)
{
  lose(3);
  now += seconds(30) - Duration(1);
  EXPECT_TRUE(losses.isCutOff(1, now));
  now += Duration(1);
  EXPECT_FALSE(losses.isCutOff(1, now));
}

} // namespace
} // namespace cowslippin::testing
