#include "libpeers/silencewatch.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

class SilenceWatchTest : public ::testing::Test
{
protected:
  bool isSilentAfter(Duration duration) const
  {
    return watch.isSilent(SilenceWatch::Settings(), now + duration);
  }

  TimePoint now{ std::chrono::seconds(100) };
  SilenceWatch watch{ now };
};

TEST_F(SilenceWatchTest, TheShortLimitAppliesWithoutAnAnnouncedInterval)
{
  EXPECT_FALSE(isSilentAfter(milliseconds(450)));
  EXPECT_TRUE(isSilentAfter(milliseconds(451)));
}

TEST_F(SilenceWatchTest, WaitsForAPeerThatAnnouncesALaterHeartbeat)
{
  watch.promised(milliseconds(840));
  EXPECT_FALSE(isSilentAfter(milliseconds(1150)));
  EXPECT_TRUE(isSilentAfter(milliseconds(1151)));
}

TEST_F(SilenceWatchTest, TheShortLimitAppliesOnceAPeerSharesJobs)
{
  watch.promised(milliseconds(840));
  watch.setClose(true, now + milliseconds(700));
  EXPECT_FALSE(isSilentAfter(milliseconds(1150)));
  EXPECT_TRUE(isSilentAfter(milliseconds(1151)));
  watch.setClose(true, now + milliseconds(900));
  EXPECT_TRUE(isSilentAfter(milliseconds(1151)))
    << "the peer shared jobs before";
  watch.setClose(false, now + milliseconds(1000));
  watch.heard(now + milliseconds(1000));
  EXPECT_FALSE(isSilentAfter(milliseconds(2150)));
}

} // namespace
} // namespace cowslippin::testing
