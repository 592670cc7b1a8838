#include "libworkers/workers.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

const RunKey run1("job.0.0.0", 1);
const RunKey run2("job.0.0.1", 1);
const TimePoint now{ seconds(100) };

TEST(UnansweredStarts, CountsEachStartUntilItIsRemoved)
{
  UnansweredStarts starts;
  EXPECT_TRUE(starts.isEmpty());
  starts.add(run1, Resources(3000, 10, 0), now + seconds(12));
  starts.add(run2, Resources(4000, 10, 0), now + seconds(12));
  EXPECT_EQ(starts.total(), Resources(7000, 20, 0));
  starts.remove(run1);
  EXPECT_FALSE(starts.contains(run1));
  EXPECT_EQ(starts.total(), Resources(4000, 10, 0));
  starts.remove(run2);
  EXPECT_TRUE(starts.isEmpty());
}

TEST(UnansweredStarts, KeepsAStartUntilAllItsCopiesAreAnswered)
{
  UnansweredStarts starts;
  starts.add(run1, Resources(3000, 10, 0), now + seconds(12));
  starts.add(run1, Resources(3000, 10, 0), now + seconds(13));
  EXPECT_EQ(starts.total(), Resources(3000, 10, 0)) << "one run";
  EXPECT_EQ(starts.expiry(run1), now + seconds(13));
  starts.remove(run1);
  EXPECT_TRUE(starts.contains(run1));
  starts.runReported(run1);
  EXPECT_TRUE(starts.contains(run1)) << "the copy that was answered";
  starts.remove(run1);
  EXPECT_FALSE(starts.contains(run1));
}

TEST(UnansweredStarts, AReportedRunAccountsForOneCopy)
{
  UnansweredStarts starts;
  starts.add(run1, Resources(3000, 10, 0), now + seconds(12));
  starts.runReported(run1);
  EXPECT_TRUE(starts.isEmpty());
  EXPECT_EQ(starts.expiry(run1), std::nullopt);
}

TEST(UnansweredStarts, RemovesAStartWhenItExpires)
{
  UnansweredStarts starts;
  starts.add(run1, Resources(3000, 10, 0), now + seconds(12));
  starts.expire(now + seconds(11));
  EXPECT_TRUE(starts.contains(run1));
  starts.expire(now + seconds(12));
  EXPECT_TRUE(starts.isEmpty());
}

} // namespace
} // namespace cowslippin::testing
