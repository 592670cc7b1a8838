#include "libentry/peerlosses.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

class PeerLossesTest : public ::testing::Test
{
protected:
  void lose(int count)
  {
    for (int i = 0; i < count; ++i)
      losses.peerLost(VmId("vm-" + std::to_string(i)), now);
  }

  TimePoint now{ seconds(100) };
  PeerLosses losses;
};

/// Guards against a daemon that runs alone from the start and takes itself for
/// partitioned, which ends all its long jobs.
TEST_F(PeerLossesTest, WithoutALossADaemonIsNotCutOff)
{
  EXPECT_FALSE(losses.mayBePartitioned(1, now));
}

/// Guards against jobs that run on in the smaller part of a partitioned group
/// while their callers submit them again in the larger part.
TEST_F(PeerLossesTest, TheSmallerPartIsCutOff)
{
  lose(3);
  EXPECT_TRUE(losses.mayBePartitioned(2, now));
}

/// Guards against two equal parts of a partitioned group that each take the
/// other part for lost and go on.
TEST_F(PeerLossesTest, EachOfTwoEqualPartsIsCutOff)
{
  lose(2);
  EXPECT_TRUE(losses.mayBePartitioned(2, now));
}

/// Guards against jobs that are ended on all daemons when a few of many are
/// lost.
TEST_F(PeerLossesTest, TheLargerPartIsNotCutOff)
{
  lose(2);
  EXPECT_FALSE(losses.mayBePartitioned(3, now));
}

/// Guards against a count of losses instead of lost daemons.
TEST_F(PeerLossesTest, ADaemonThatIsLostTwiceCountsOnce)
{
  lose(1);
  lose(1);
  EXPECT_FALSE(losses.mayBePartitioned(2, now));
}

/// Guards against a group that is complete again but still counts as
/// partitioned.
TEST_F(PeerLossesTest, AReconnectedDaemonIsNoLongerCounted)
{
  lose(2);
  losses.reconnected(VmId("vm-0"));
  EXPECT_FALSE(losses.mayBePartitioned(2, now));
}

/// Guards against a group that has become smaller for good and in which no long
/// job is ever kept.
TEST_F(PeerLossesTest, ADaemonLostForThirtySecondsIsNoLongerCounted)
{
  lose(3);
  now += seconds(30) - Duration(1);
  EXPECT_TRUE(losses.mayBePartitioned(1, now));
  now += Duration(1);
  EXPECT_FALSE(losses.mayBePartitioned(1, now));
}

} // namespace
} // namespace cowslippin::testing
