#include "libjobs/jobs.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

const std::string task = "job.0.0.0";
const WorkerId w1("w1");
const WorkerId w2("w2");
const TimePoint now{ seconds(100) };

TEST(UnresolvedStarts, BindATaskToTheirWorker)
{
  UnresolvedStarts starts;
  EXPECT_FALSE(starts.binding(task));
  starts.add({ RunKey(task, 1), w1, now + seconds(12) });
  starts.add({ RunKey(task, 3), w1, now + seconds(11) });
  starts.add({ RunKey("job.0.0.1", 1), w2, now + seconds(12) });
  const auto binding = starts.binding(task);
  ASSERT_TRUE(binding);
  EXPECT_EQ(binding->worker, w1);
  EXPECT_EQ(binding->until, now + seconds(12));
  EXPECT_EQ(binding->nextRun, 4u);
  EXPECT_FALSE(starts.binding("job.0.0.10"));
}

TEST(UnresolvedStarts, OnSeveralWorkersLeaveNoWorkerForTheTask)
{
  UnresolvedStarts starts;
  starts.add({ RunKey(task, 1), w1, now + seconds(12) });
  starts.add({ RunKey(task, 1), w2, now + seconds(11) });
  const auto binding = starts.binding(task);
  ASSERT_TRUE(binding);
  EXPECT_EQ(binding->worker, std::nullopt);
  starts.expire(now + seconds(11));
  EXPECT_EQ(starts.binding(task)->worker, w1);
}

/// Guards against forgetting a late copy when another daemon announces an older
/// copy of the same run.
TEST(UnresolvedStarts, EndWhenTheLastCopyExpires)
{
  UnresolvedStarts starts;
  starts.add({ RunKey(task, 1), w1, now + seconds(13) });
  starts.add({ RunKey(task, 1), w1, now + seconds(12) });
  EXPECT_EQ(starts.all().size(), 1u);
  starts.expire(now + seconds(12));
  EXPECT_FALSE(starts.isEmpty());
  starts.expire(now + seconds(13));
  EXPECT_TRUE(starts.isEmpty());
}

} // namespace
} // namespace cowslippin::testing
