#include "libpeers/silencedetector.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

class SilenceDetectorTest : public ::testing::Test
{
protected:
  bool isSilentAfter(Duration duration) const
  {
    return watch.isSilent(SilenceDetector::Settings(), now + duration);
  }

  TimePoint now{ std::chrono::seconds(100) };
  SilenceDetector watch{ now };
};

TEST_F(SilenceDetectorTest, TheShortLimitAppliesWithoutAnAnnouncedInterval)
{
  EXPECT_FALSE(isSilentAfter(milliseconds(450)));
  EXPECT_TRUE(isSilentAfter(milliseconds(451)));
}

TEST_F(SilenceDetectorTest, WaitsForAPeerThatAnnouncesALaterHeartbeat)
{
  watch.setNextHeartbeatWithin(milliseconds(840));
  EXPECT_FALSE(isSilentAfter(milliseconds(1150)));
  EXPECT_TRUE(isSilentAfter(milliseconds(1151)));
}

TEST_F(SilenceDetectorTest, TheShortLimitAppliesOnceAPeerSharesJobs)
{
  watch.setNextHeartbeatWithin(milliseconds(840));
  watch.setSharesJobs(true, now + milliseconds(700));
  EXPECT_FALSE(isSilentAfter(milliseconds(1150)));
  EXPECT_TRUE(isSilentAfter(milliseconds(1151)));
  watch.setSharesJobs(true, now + milliseconds(900));
  EXPECT_TRUE(isSilentAfter(milliseconds(1151)))
    << "the peer shared jobs before";
  watch.setSharesJobs(false, now + milliseconds(1000));
  watch.messageReceived(now + milliseconds(1000));
  EXPECT_FALSE(isSilentAfter(milliseconds(2150)));
}

} // namespace
} // namespace cowslippin::testing
