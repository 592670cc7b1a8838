#include "libentry/admittedshare.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AdmittedShareTest : public ::testing::Test
{
protected:
  void tickFor(Duration duration, Duration lag)
  {
    const TimePoint end = now + duration;
    while (now < end) {
      now += milliseconds(20) + lag;
      share.tick(lag, now);
    }
  }

  TimePoint now{ seconds(100) };
  AdmittedShare share{ AdmittedShare::Settings() };
};

/// Guards against refusals on a daemon that has enough processor time.
TEST_F(AdmittedShareTest, IsOneUpToTheLimit)
{
  tickFor(seconds(5), Duration::zero());
  tickFor(seconds(5), milliseconds(80));
  EXPECT_EQ(share.value(), 1);
  EXPECT_FALSE(share.isLimiting());
}

/// Guards against an overload that grows for seconds before it is met.
TEST_F(AdmittedShareTest, FallsToTheMinimumWithinTwoSeconds)
{
  tickFor(seconds(2), milliseconds(200));
  EXPECT_EQ(share.value(), AdmittedShare::Settings().minShare);
}

/// Guards against a second decrease before the first one can have had an
/// effect: jobs that wait in the sockets arrived before it.
TEST_F(AdmittedShareTest, FallsOnceInTheTimeOfTheLag)
{
  share.tick(milliseconds(150), now);
  const double once = share.value();
  share.tick(milliseconds(150), now + milliseconds(140));
  EXPECT_EQ(share.value(), once);
  share.tick(milliseconds(150), now + milliseconds(150));
  EXPECT_LT(share.value(), once);
}

/// Guards against a backlog that grows for a second after each decrease, as
/// jobs that wait for a second are counted as lag.
TEST_F(AdmittedShareTest, FallsAgainSoonAlsoIfJobsWaitForLong)
{
  share.tick(seconds(1), now);
  const double once = share.value();
  share.tick(seconds(1), now + milliseconds(200));
  EXPECT_LT(share.value(), once);
}

/// Guards against jobs that are refused though the overload has ended.
TEST_F(AdmittedShareTest, IsOneAgainWithinThreeSeconds)
{
  tickFor(seconds(6), milliseconds(200));
  tickFor(milliseconds(2500), Duration::zero());
  EXPECT_EQ(share.value(), 1);
}

/// Guards against a share that swings between its bounds while the lag is
/// between the target and the limit.
TEST_F(AdmittedShareTest, StaysBetweenTheTargetAndTheLimit)
{
  tickFor(milliseconds(300), milliseconds(100));
  const double before = share.value();
  EXPECT_LT(before, 1);
  tickFor(seconds(3), milliseconds(60));
  EXPECT_EQ(share.value(), before);
}

TEST_F(AdmittedShareTest, IsOneAfterAReset)
{
  tickFor(seconds(2), milliseconds(200));
  share.reset();
  EXPECT_EQ(share.value(), 1);
  EXPECT_EQ(share.timeToFull(), Duration::zero());
}

} // namespace
} // namespace cowslippin::testing
