#include "libjobs/jobs.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

const ZoneName zone("z1");
const TimePoint start{ seconds(100) };

TEST(CarriedWorkers, FollowTheTighterLimitOfLinkAndProcessor)
{
  EXPECT_EQ(maxWorkersFor({}), maxWorkersPerShard);
  EXPECT_EQ(maxWorkersFor({ 0.12, 25 }), 40u);
  EXPECT_EQ(maxWorkersFor({ 0.12, 2 }), 8u);
  EXPECT_EQ(maxWorkersFor({ 0.12, 8 }), 30u);
  EXPECT_EQ(maxWorkersFor({ 0.06, 25 }), 20u);
  EXPECT_EQ(maxWorkersFor({ 4, 10000 }), maxWorkersPerShard);
  EXPECT_EQ(maxWorkersFor({ 0.001, 0.1 }), 1u);
}

/// Guards against shards on machines whose processor their callers need, while
/// larger machines of the zone have processor time left.
TEST(TaskRate, LeavesOutWhatCallersTakeOfTheProcessor)
{
  EXPECT_EQ(taskRateFor({ 0.5, 200 }), 860u);
  EXPECT_EQ(taskRateFor({ 0.12, 25 }), 100u);
  EXPECT_EQ(taskRateFor({ 0.09, 19 }), 40u);
  EXPECT_EQ(taskRateFor({ 0.05, 19 }), 1u);
  EXPECT_EQ(taskRateFor({ 0.5, 2 }), 76u);
  EXPECT_EQ(taskRateFor({}), taskRateFor({ 1000, 1e6 }));
}

TEST(ShardSizeLimits, FallAtOnceAndRiseOnlyAfterAWhile)
{
  ShardSizeLimits sizes;
  EXPECT_FALSE(sizes.update({ { zone, maxWorkersPerShard } }, start));
  EXPECT_TRUE(sizes.update({ { zone, 8 } }, start));
  EXPECT_EQ(sizes.limits().at(zone), 8u);
  EXPECT_FALSE(sizes.update({ { zone, 40 } }, start + seconds(1)));
  EXPECT_FALSE(sizes.update({ { zone, 8 } }, start + seconds(5)))
    << "the weakest daemon was unreachable for a moment";
  EXPECT_FALSE(sizes.update({ { zone, 40 } }, start + seconds(6)));
  EXPECT_FALSE(sizes.update({ { zone, 40 } }, start + seconds(25)));
  EXPECT_TRUE(sizes.update({ { zone, 40 } }, start + seconds(26)));
  EXPECT_EQ(sizes.limits().at(zone), 40u);
}

TEST(ShardSizeLimits, StayForAZoneThatCannotBeReached)
{
  ShardSizeLimits sizes;
  sizes.update({ { zone, 8 } }, start);
  EXPECT_FALSE(sizes.update({}, start + seconds(60)));
  EXPECT_EQ(sizes.limits().at(zone), 8u);
}

} // namespace
} // namespace cowslippin::testing
