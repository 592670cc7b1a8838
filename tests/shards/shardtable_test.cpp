#include "libshards/shards.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ZoneName ownZone("z1");
const ZoneName otherZone("z2");
const ShardId ownShard(ownZone, 0);
const ShardId foreignShard(otherZone, 0);

class ShardTableTest : public ::testing::Test
{
protected:
  ShardTableTest()
    : table(VmId("self"), ownZone, settings, start)
    , now(start)
  {
    table.setShards({ ownShard, foreignShard });
    table.setReady(true);
  }

  static MemberView member(const std::string& id,
                           const ZoneName& zone,
                           std::map<ShardId, std::uint64_t> shards = {})
  {
    MemberView view;
    view.id = VmId(id);
    view.zone = zone;
    view.isReady = true;
    view.shards = std::move(shards);
    return view;
  }

  void advance(Duration time) { now += time; }

  bool takes(const ShardId& shard) const
  {
    const auto decisions = table.decide(now);
    return std::count(decisions.take.begin(), decisions.take.end(), shard) > 0;
  }
  bool releases(const ShardId& shard) const
  {
    const auto decisions = table.decide(now);
    return std::count(
             decisions.release.begin(), decisions.release.end(), shard) > 0;
  }

  const ShardTable::Settings settings;
  const TimePoint start{ seconds(100) };
  ShardTable table;
  TimePoint now;
};

TEST_F(ShardTableTest, TakesAFreeShardOnceAllKnownDaemonsWereHeard)
{
  table.setKnownMemberCount(1);
  advance(milliseconds(250));
  EXPECT_FALSE(takes(ownShard)) << "a known daemon was not heard";
  table.updateMember(member("far", otherZone), now);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, WaitsForAnUnheardDaemonOnlyUntilTheLimit)
{
  table.setKnownMemberCount(2);
  table.updateMember(member("far", otherZone), now);
  advance(milliseconds(400));
  EXPECT_FALSE(takes(ownShard));
  advance(milliseconds(100));
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, TakesAShardThatItHeldBeforeItsRestartOnceItIsConnected)
{
  table.setKnownMemberCount(2);
  table.setLastHolder(ownShard, VmId("self"));
  advance(milliseconds(40));
  EXPECT_FALSE(takes(ownShard)) << "connections are not made yet";
  advance(milliseconds(40));
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, TakesAShardWhoseLastHolderIsReachableAndDoesNotClaimIt)
{
  table.setKnownMemberCount(3);
  table.setLastHolder(ownShard, VmId("mate"));
  table.updateMember(member("far", otherZone), now);
  advance(milliseconds(100));
  EXPECT_FALSE(takes(ownShard)) << "the last holder was not heard";
  MemberView mate = member("mate", ownZone);
  mate.isCpuStarved = true;
  table.updateMember(mate, now);
  EXPECT_TRUE(takes(ownShard));
  table.updateMember(member("mate", ownZone, { { ownShard, 5 } }), now);
  EXPECT_FALSE(takes(ownShard));
}

TEST_F(ShardTableTest, DoesNotWaitForOthersAfterAllWereLost)
{
  table.setKnownMemberCount(5);
  MemberView fresh = member("far", otherZone);
  fresh.hasJustStarted = true;
  table.updateMember(fresh, now);
  advance(milliseconds(40));
  EXPECT_FALSE(takes(ownShard)) << "connections are not made yet";
  advance(milliseconds(40));
  EXPECT_TRUE(takes(ownShard));
  table.updateMember(member("old", otherZone), now);
  EXPECT_FALSE(takes(ownShard)) << "a daemon that was not lost is reachable";
}

TEST_F(ShardTableTest, AfterTheLossOfAllEachDaemonTakesOneShardAtFirst)
{
  const ShardId half(ownZone, 0, 2);
  const ShardId otherHalf(ownZone, 1, 2);
  table.setShards({ half, otherHalf });
  table.setKnownMemberCount(5);
  MemberView fresh = member("far", otherZone);
  fresh.hasJustStarted = true;
  table.updateMember(fresh, now);
  advance(milliseconds(80));
  ASSERT_NE(takes(half), takes(otherHalf));
  const ShardId first = takes(half) ? half : otherHalf;
  const ShardId second = takes(half) ? otherHalf : half;
  table.shardTaken(first, 5, now);
  EXPECT_FALSE(takes(second));
  advance(milliseconds(400));
  EXPECT_TRUE(takes(second)) << "no other daemon has started";
}

/// Guards against a daemon that takes a whole zone. On weak machines connecting
/// takes longer than a daemon waits for others: each daemon took the whole
/// zone, and the last to start, with the highest tokens, kept it for good.
TEST_F(ShardTableTest, ANewDaemonThatHearsFewTakesOneShardAtATime)
{
  std::set<ShardId> shards;
  for (unsigned index = 0; index < 8; ++index)
    shards.emplace(ownZone, index, 8);
  table.setShards(shards);
  table.setKnownMemberCount(5);
  table.updateMember(member("far", otherZone), now);
  advance(milliseconds(500));
  std::uint64_t token = 10;
  for (unsigned held = 0; held < 3; ++held) {
    const auto taken = table.decide(now).take;
    ASSERT_EQ(taken.size(), 1u) << held;
    table.shardTaken(taken[0], ++token, now);
    EXPECT_TRUE(table.decide(now).take.empty()) << held;
    advance(milliseconds(150));
  }
  for (const char* id : { "far-1", "far-2", "far-3", "far-4" })
    table.updateMember(member(id, otherZone), now);
  EXPECT_EQ(table.decide(now).take.size(), 5u) << "all daemons are heard";
}

TEST_F(ShardTableTest, OfTwoHoldersTheOneWithMoreShardsReleases)
{
  table.setKnownMemberCount(1);
  table.shardTaken(ownShard, 99, now);
  table.shardTaken(ShardId(ownZone, 1), 99, now);
  table.updateMember(member("mate", ownZone, { { ownShard, 8 } }), now);
  EXPECT_TRUE(releases(ownShard));
  table.updateMember(member("mate",
                            ownZone,
                            { { ownShard, 100 },
                              { ShardId(ownZone, 2), 1 },
                              { ShardId(ownZone, 3), 1 } }),
                     now);
  EXPECT_FALSE(releases(ownShard)) << "although its token is lower";
}

TEST_F(ShardTableTest, TakesShardsFromAHolderOfManyOneAfterTheOther)
{
  std::map<ShardId, std::uint64_t> all;
  std::set<ShardId> shards;
  for (unsigned index = 0; index < 4; ++index) {
    shards.emplace(ownZone, index, 4);
    all[ShardId(ownZone, index, 4)] = 5;
  }
  table.setShards(shards);
  table.setKnownMemberCount(1);
  table.updateMember(member("mate", ownZone, all), now);
  advance(milliseconds(900));
  EXPECT_TRUE(table.decide(now).take.empty())
    << "a new daemon may not have heard all others";
  advance(milliseconds(200));
  for (unsigned taken = 0; taken < 2; ++taken) {
    const auto take = table.decide(now).take;
    ASSERT_EQ(take.size(), 1u) << taken;
    table.shardTaken(take[0], 50, now);
    all.erase(take[0]);
    table.updateMember(member("mate", ownZone, all), now);
    EXPECT_TRUE(table.decide(now).take.empty()) << taken;
    advance(milliseconds(500));
  }
  EXPECT_TRUE(table.decide(now).take.empty()) << "both hold the same number";
}

TEST_F(ShardTableTest, LeavesAShardToItsHolder)
{
  table.setKnownMemberCount(1);
  table.updateMember(member("mate", ownZone, { { ownShard, 5 } }), now);
  advance(seconds(1));
  EXPECT_FALSE(takes(ownShard));
  EXPECT_EQ(table.holder(ownShard), VmId("mate"));
}

TEST_F(ShardTableTest, OnlyOneOfAZonesDaemonsTakesAFreeShard)
{
  ShardTable other(VmId("mate"), ownZone, settings, start);
  other.setShards({ ownShard });
  other.setReady(true);
  table.updateMember(member("mate", ownZone), now);
  other.updateMember(member("self", ownZone), now);
  advance(seconds(1));
  const bool otherTakes = !other.decide(now).take.empty();
  EXPECT_NE(takes(ownShard), otherTakes);
}

TEST_F(ShardTableTest, TakesOverFromAHolderThatLeavesOrIsLost)
{
  MemberView leaving = member("mate", ownZone, { { ownShard, 5 } });
  leaving.isLeaving = true;
  table.setKnownMemberCount(2);
  table.updateMember(leaving, now);
  table.updateMember(member("far", otherZone), now);
  advance(seconds(1));
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, TakesAShardOfAnotherZoneWhoseLastDaemonLeaves)
{
  MemberView last = member("far", otherZone, { { foreignShard, 5 } });
  table.setKnownMemberCount(1);
  table.updateMember(last, now);
  advance(seconds(1));
  EXPECT_FALSE(takes(foreignShard));
  last.isLeaving = true;
  table.updateMember(last, now);
  EXPECT_TRUE(takes(foreignShard));
  table.shardTaken(foreignShard, 6, now);
  EXPECT_EQ(table.holder(foreignShard), VmId("self"));
  EXPECT_FALSE(releases(foreignShard))
    << "a leaving daemon doesn't get it back";
  table.updateMember(member("next", otherZone, { { foreignShard, 7 } }), now);
  EXPECT_TRUE(releases(foreignShard));
}

TEST_F(ShardTableTest, LeavesAForeignShardToTheRemainingDaemonOfItsZone)
{
  MemberView leaving = member("far", otherZone, { { foreignShard, 5 } });
  leaving.isLeaving = true;
  table.setKnownMemberCount(2);
  table.updateMember(leaving, now);
  table.updateMember(member("near-it", otherZone), now);
  advance(seconds(1));
  EXPECT_FALSE(takes(foreignShard));
}

TEST_F(ShardTableTest, LeavesAForeignShardToTheDaemonThatHasTakenItOver)
{
  MemberView leaving = member("far", otherZone, { { foreignShard, 5 } });
  leaving.isLeaving = true;
  table.setKnownMemberCount(2);
  table.updateMember(leaving, now);
  table.updateMember(member("third", ZoneName("z3"), { { foreignShard, 6 } }),
                     now);
  advance(seconds(1));
  EXPECT_FALSE(takes(foreignShard));
  EXPECT_EQ(table.holder(foreignShard), VmId("third"));
}

TEST_F(ShardTableTest, JobsGoToShardsOfOthersUntilWorkersAreKnown)
{
  table.setShards({});
  EXPECT_TRUE(table.servedShards().empty());
  table.updateMember(member("mate", ownZone, { { ownShard, 5 } }), now);
  EXPECT_EQ(table.servedShards(), std::set<ShardId>{ ownShard });
  EXPECT_EQ(table.holder(ownShard), VmId("mate"));
  table.setShards({ foreignShard });
  EXPECT_EQ(table.servedShards(), std::set<ShardId>{ foreignShard });
}

TEST_F(ShardTableTest,
       TakesAShardOfALostZoneOnceItsWorkersReportThatNoDaemonUsesThem)
{
  table.setKnownMemberCount(2);
  table.updateMember(member("third", ZoneName("z3"), { { ownShard, 3 } }), now);
  table.updateMember(member("far", otherZone, { { foreignShard, 5 } }), now);
  advance(seconds(1));
  EXPECT_TRUE(table.shardsToProbe(now).empty());
  table.removeMember(VmId("far"), now);
  EXPECT_FALSE(takes(foreignShard));
  const std::map<ShardId, std::uint64_t> asked = { { foreignShard, 5 } };
  EXPECT_EQ(table.shardsToProbe(now), asked);
  table.setUnused(foreignShard, now);
  EXPECT_TRUE(takes(foreignShard));
  advance(milliseconds(300));
  EXPECT_FALSE(takes(foreignShard)) << "the report is too old";
  table.setUnused(foreignShard, now);
  table.updateMember(member("far", otherZone), now);
  EXPECT_FALSE(takes(foreignShard)) << "the zone has a daemon again";
}

TEST_F(ShardTableTest, ALeavingDaemonReleasesToAnotherZone)
{
  table.shardTaken(ownShard, 7, now);
  table.updateMember(member("far", otherZone, { { ownShard, 9 } }), now);
  EXPECT_FALSE(releases(ownShard));
  table.setLeaving();
  EXPECT_TRUE(releases(ownShard));
}

TEST_F(ShardTableTest, OfTwoHoldersTheOneWithTheLowerTokenReleases)
{
  table.shardTaken(ownShard, 7, now);
  table.updateMember(member("mate", ownZone, { { ownShard, 5 } }), now);
  EXPECT_FALSE(releases(ownShard));
  table.updateMember(member("mate", ownZone, { { ownShard, 9 } }), now);
  EXPECT_TRUE(releases(ownShard));
}

TEST_F(ShardTableTest, ADaemonOfTheZoneHasPriorityOverAForeignOne)
{
  table.shardTaken(ownShard, 7, now);
  table.updateMember(member("far", otherZone, { { ownShard, 99 } }), now);
  EXPECT_FALSE(releases(ownShard));
  table.shardTaken(foreignShard, 99, now);
  table.updateMember(member("far", otherZone, { { foreignShard, 7 } }), now);
  EXPECT_TRUE(releases(foreignShard));
}

TEST_F(ShardTableTest, AnIsolatedDaemonTakesNothingForAWhile)
{
  table.setKnownMemberCount(1);
  table.updateMember(member("mate", ownZone), now);
  advance(seconds(1));
  table.removeMember(VmId("mate"), now);
  EXPECT_FALSE(takes(ownShard));
  advance(settings.isolatedTakeDelay);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, AnIsolatedDaemonRespectsTheHoldersHeartbeatAtThePlatform)
{
  table.setKnownMemberCount(1);
  table.updateMember(member("mate", ownZone), now);
  table.removeMember(VmId("mate"), now);
  advance(settings.isolatedTakeDelay + seconds(1));
  table.setPlatformHeartbeat(ownShard, VmId("mate"), now);
  EXPECT_FALSE(takes(ownShard));
  advance(settings.maxPlatformHeartbeatAge);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest,
       AnIsolatedDaemonReleasesAShardWhoseWorkersOthersHaveClaimed)
{
  table.setKnownMemberCount(1);
  table.shardTaken(ownShard, 7, now);
  table.workerFenced(ownShard, now);
  EXPECT_TRUE(releases(ownShard));
  table.updateMember(member("mate", ownZone), now);
  EXPECT_FALSE(releases(ownShard))
    << "another daemon is heard, so this one isn't isolated";
}

TEST_F(ShardTableTest, DoesNotRetakeAReleasedShardBeforeTheDelay)
{
  table.setKnownMemberCount(1);
  table.updateMember(member("far", otherZone), now);
  table.shardTaken(ownShard, 7, now);
  advance(seconds(1));
  table.shardReleased(ownShard, now);
  EXPECT_FALSE(takes(ownShard));
  advance(settings.retakeDelay);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, AForeignShardIsTakenOnlyAfterAPlatformRead)
{
  table.setKnownMemberCount(2);
  table.updateMember(member("mate", ownZone), now);
  table.updateMember(member("far", otherZone), now);
  table.removeMember(VmId("far"), now);
  advance(settings.foreignTakeDelay + seconds(1));
  table.updateMember(member("mate", ownZone, { { ownShard, 1 } }), now);
  EXPECT_FALSE(takes(foreignShard)) << "the platform was not read";
  table.platformHeartbeatsRead(now);
  const bool isFirst = takes(foreignShard);
  table.removeMember(VmId("mate"), now);
  table.updateMember(member("zzz", ownZone), now);
  table.platformHeartbeatsRead(now);
  const bool isFirstToo = takes(foreignShard);
  EXPECT_TRUE(isFirst || isFirstToo) << "one of the two candidates takes it";
  table.setPlatformHeartbeat(foreignShard, VmId("far"), now);
  EXPECT_FALSE(takes(foreignShard)) << "the holder is alive";
}

TEST_F(ShardTableTest, AHolderShortOfProcessorTimeGivesWayToOneThatIsNot)
{
  table.setKnownMemberCount(1);
  MemberView mate = member("mate", ownZone, { { ownShard, 5 } });
  mate.isCpuStarved = true;
  table.updateMember(mate, now);
  advance(seconds(1));
  EXPECT_TRUE(takes(ownShard));
  table.setCpuStarved(true);
  EXPECT_FALSE(takes(ownShard)) << "this daemon is short of processor time too";
}

TEST_F(ShardTableTest, IfAllAreShortOfProcessorTimeOneStillTakesAFreeShard)
{
  table.setKnownMemberCount(1);
  MemberView mate = member("mate", ownZone);
  mate.isCpuStarved = true;
  ShardTable other(VmId("mate"), ownZone, settings, start);
  other.setShards({ ownShard });
  other.setReady(true);
  other.setCpuStarved(true);
  other.setKnownMemberCount(1);
  MemberView self = member("self", ownZone);
  self.isCpuStarved = true;
  table.setCpuStarved(true);
  table.updateMember(mate, now);
  other.updateMember(self, now);
  advance(seconds(1));
  const bool otherTakes = !other.decide(now).take.empty();
  EXPECT_NE(takes(ownShard), otherTakes);
}

TEST_F(ShardTableTest, ADaemonThatCanFollowMoreTasksTakesMoreShards)
{
  MemberView mate = member("mate", ownZone);
  mate.taskRate = 80;
  mate.slowness = -5;
  table.setTaskRate(400);
  table.setKnownMemberCount(1);
  const ShardId half(ownZone, 1, 2);
  table.setShards({ half });
  table.updateMember(mate, now);
  advance(seconds(1));
  for (const unsigned held : { 0u, 1u, 2u, 3u }) {
    EXPECT_TRUE(takes(half)) << held;
    table.shardTaken(ShardId(ownZone, held, 64), 5, now);
  }
  table.shardTaken(ShardId(ownZone, 4, 64), 5, now);
  EXPECT_FALSE(takes(half)) << "its load would be higher";
}

/// Guards against shards that stay with small machines, which took them after
/// the loss of a large one, when that one is back.
TEST_F(ShardTableTest, ALargeMachineTakesTheOnlyShardOfASmallOne)
{
  MemberView mate = member("mate", ownZone, { { ownShard, 7 } });
  mate.taskRate = 100;
  table.setKnownMemberCount(1);
  table.setTaskRate(100);
  table.updateMember(mate, now);
  advance(seconds(2));
  EXPECT_FALSE(takes(ownShard)) << "the machines are alike";
  table.setTaskRate(150);
  EXPECT_FALSE(takes(ownShard)) << "the gain is too small";
  table.setTaskRate(860);
  EXPECT_TRUE(takes(ownShard));
}

/// Guards against a shard that moves, with its jobs, from a large machine that
/// is short of processor time to a small one, which is starved at once.
TEST_F(ShardTableTest, ASmallMachineDoesNotRelieveALargeOne)
{
  MemberView mate = member("mate", ownZone, { { ownShard, 7 } });
  mate.isCpuStarved = true;
  mate.taskRate = 860;
  table.setKnownMemberCount(1);
  table.updateMember(mate, now);
  advance(seconds(1));
  table.setTaskRate(100);
  EXPECT_FALSE(takes(ownShard));
  table.setTaskRate(430);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, ReturnsWhatTheWeakestDaemonOfEachZoneCanHold)
{
  table.setWorkerCapacity(40);
  MemberView mate = member("mate", ownZone);
  mate.workerCapacity = 8;
  MemberView far = member("far", otherZone);
  far.workerCapacity = 20;
  EXPECT_TRUE(table.updateMember(mate, now));
  EXPECT_TRUE(table.updateMember(far, now));
  EXPECT_FALSE(table.updateMember(mate, now));
  const std::map<ZoneName, std::size_t> both = { { ownZone, 8 },
                                                 { otherZone, 20 } };
  EXPECT_EQ(table.smallestWorkerCapacities(), both);
  table.removeMember(VmId("mate"), now);
  table.removeMember(VmId("far"), now);
  const std::map<ZoneName, std::size_t> own = { { ownZone, 40 } };
  EXPECT_EQ(table.smallestWorkerCapacities(), own);
}

TEST_F(ShardTableTest, TakesNothingBeforeItIsReadyOrWhenItLeaves)
{
  table.setKnownMemberCount(1);
  table.updateMember(member("far", otherZone), now);
  advance(seconds(1));
  table.setReady(false);
  EXPECT_FALSE(takes(ownShard));
  table.setReady(true);
  EXPECT_TRUE(takes(ownShard));
  table.setLeaving();
  EXPECT_FALSE(takes(ownShard));
}

} // namespace
} // namespace cowslippin::testing
