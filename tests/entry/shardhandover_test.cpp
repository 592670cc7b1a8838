#include "libentry/shardhandover.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ShardHandoverTest : public ::testing::Test
{
protected:
  static PeerShardReleased release(std::uint64_t token)
  {
    return { shard(), token, { { WorkerId("w1"), Duration::zero() } } };
  }
  /// Another daemon reports that it holds the shard. Returns whether that voids
  /// an earlier statement.
  bool report(std::uint64_t token)
  {
    return !handover.holderReported(shard(), token, now).empty();
  }
  static ShardId shard() { return { ZoneName("z1"), 0, 4 }; }

  TimePoint now{ seconds(100) };
  ShardHandover handover;
};

TEST_F(ShardHandoverTest, TheLastHoldersStatementCounts)
{
  report(10);
  EXPECT_FALSE(handover.shardTaken(shard(), 20, now));
  now += milliseconds(3);
  PeerShardReleased message = release(10);
  message.lateStarts[WorkerId("w2")] = seconds(7);
  const auto statement = handover.released(message, now);
  ASSERT_TRUE(statement);
  EXPECT_EQ(statement->shard, shard());
  EXPECT_EQ(statement->takenWith, 20u);
  EXPECT_EQ(statement->lateStartsUntil.at(WorkerId("w1")), now);
  EXPECT_EQ(statement->lateStartsUntil.at(WorkerId("w2")), now + seconds(7));
  EXPECT_EQ(statement->workersWithLateStarts(now), 1u);
  EXPECT_EQ(handover.counts().taken, 1u);
  EXPECT_EQ(handover.counts().handedOver, 1u);
}

TEST_F(ShardHandoverTest, AStatementThatArrivesBeforeTheShardIsTakenCounts)
{
  report(10);
  EXPECT_FALSE(handover.released(release(10), now));
  now += milliseconds(200);
  EXPECT_TRUE(handover.shardTaken(shard(), 20, now));
}

/// Guards against starts of a daemon that held the shard in between, of which
/// the statement says nothing.
TEST_F(ShardHandoverTest, TheStatementOfAnEarlierHolderDoesNotCount)
{
  report(10);
  report(15);
  handover.shardTaken(shard(), 20, now);
  EXPECT_FALSE(handover.released(release(10), now));
  EXPECT_TRUE(handover.released(release(15), now));
}

TEST_F(ShardHandoverTest, AStatementWithoutAKnownHolderDoesNotCount)
{
  handover.shardTaken(shard(), 20, now);
  EXPECT_FALSE(handover.released(release(10), now));
  EXPECT_FALSE(handover.released(release(0), now));
}

/// Two daemons may take a shard at the same time, and either may have started
/// tasks before it learns of the other.
TEST_F(ShardHandoverTest, AnotherHolderThatIsFoundLaterVoidsTheStatement)
{
  for (const std::uint64_t other : { 15, 25 }) {
    handover = ShardHandover();
    report(10);
    handover.shardTaken(shard(), 20, now);
    ASSERT_TRUE(handover.released(release(10), now));
    EXPECT_FALSE(report(10)) << "sent before the shard was released";
    EXPECT_TRUE(report(other));
    EXPECT_FALSE(handover.released(release(10), now));
    EXPECT_FALSE(handover.released(release(other), now));
  }
}

/// A holder may keep its shard against a daemon that took it with a higher
/// token and releases it again.
TEST_F(ShardHandoverTest, AHolderThatReturnsMakesAllStatementsDoubtful)
{
  report(10);
  report(20);
  report(10);
  EXPECT_FALSE(handover.released(release(20), now));
  EXPECT_FALSE(handover.shardTaken(shard(), 30, now));
  EXPECT_FALSE(handover.released(release(10), now));
  handover.shardReleased(shard());
  now += ShardHandover::contestTime;
  report(40);
  handover.shardTaken(shard(), 50, now);
  EXPECT_TRUE(handover.released(release(40), now));
}

/// Shards of another division have the same workers.
TEST_F(ShardHandoverTest, AnotherDivisionOfTheZoneVoidsTheStatement)
{
  report(10);
  handover.shardTaken(shard(), 20, now);
  ASSERT_TRUE(handover.released(release(10), now));
  const ShardId other(shard().zone(), 1, 8);
  EXPECT_EQ(handover.holderReported(other, 12, now),
            std::vector<ShardId>{ shard() });
  EXPECT_FALSE(handover.released(release(10), now));
}

/// A daemon that was paused for seconds can't know who has held the shard
/// meanwhile.
TEST_F(ShardHandoverTest, ALateStatementDoesNotCount)
{
  report(10);
  handover.shardTaken(shard(), 20, now);
  now += ShardHandover::maxDelay + milliseconds(1);
  EXPECT_FALSE(handover.released(release(10), now));
}

TEST_F(ShardHandoverTest, AnOldStatementDoesNotCountForALaterTaking)
{
  report(10);
  handover.released(release(10), now);
  now += ShardHandover::maxDelay + milliseconds(1);
  EXPECT_FALSE(handover.shardTaken(shard(), 20, now));
}

TEST_F(ShardHandoverTest, AShardThatIsHeldNoLongerTakesNoStatement)
{
  report(10);
  handover.shardTaken(shard(), 20, now);
  handover.shardReleased(shard());
  EXPECT_FALSE(handover.released(release(10), now));
}

/// Guards against a peer that sends statements on shards without end.
TEST_F(ShardHandoverTest, TooManyStatementsAreIgnored)
{
  for (unsigned i = 0; i <= ShardHandover::maxStatements; ++i) {
    const ShardId other(ZoneName("z1"), i, 1000);
    handover.holderReported(other, 10, now);
    handover.released({ other, 10, {} }, now);
  }
  const ShardId last(ZoneName("z1"), ShardHandover::maxStatements, 1000);
  EXPECT_FALSE(handover.shardTaken(last, 20, now));
}

} // namespace
} // namespace cowslippin::testing
