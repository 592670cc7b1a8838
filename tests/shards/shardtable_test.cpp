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
  table.setKnownMembers(1);
  advance(milliseconds(250));
  EXPECT_FALSE(takes(ownShard)) << "a known daemon was not heard";
  table.memberSeen(member("far", otherZone), now);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, WaitsForAnUnheardDaemonOnlyUntilTheLimit)
{
  table.setKnownMembers(2);
  table.memberSeen(member("far", otherZone), now);
  advance(milliseconds(400));
  EXPECT_FALSE(takes(ownShard));
  advance(milliseconds(100));
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, TakesAShardThatItHeldBeforeItsRestartOnceItIsConnected)
{
  table.setKnownMembers(2);
  table.lastHolderRead(ownShard, VmId("self"));
  advance(milliseconds(40));
  EXPECT_FALSE(takes(ownShard)) << "connections are not made yet";
  advance(milliseconds(40));
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, TakesAShardWhoseLastHolderIsReachableAndDoesNotClaimIt)
{
  table.setKnownMembers(3);
  table.lastHolderRead(ownShard, VmId("mate"));
  table.memberSeen(member("far", otherZone), now);
  advance(milliseconds(100));
  EXPECT_FALSE(takes(ownShard)) << "the last holder was not heard";
  MemberView mate = member("mate", ownZone);
  mate.isStrained = true;
  table.memberSeen(mate, now);
  EXPECT_TRUE(takes(ownShard));
  table.memberSeen(member("mate", ownZone, { { ownShard, 5 } }), now);
  EXPECT_FALSE(takes(ownShard));
}

TEST_F(ShardTableTest, DoesNotWaitForOthersAfterAllWereLost)
{
  table.setKnownMembers(5);
  MemberView fresh = member("far", otherZone);
  fresh.isNew = true;
  table.memberSeen(fresh, now);
  advance(milliseconds(40));
  EXPECT_FALSE(takes(ownShard)) << "connections are not made yet";
  advance(milliseconds(40));
  EXPECT_TRUE(takes(ownShard));
  table.memberSeen(member("old", otherZone), now);
  EXPECT_FALSE(takes(ownShard)) << "a daemon that was not lost is reachable";
}

TEST_F(ShardTableTest, AfterTheLossOfAllEachDaemonTakesOneShardAtFirst)
{
  const ShardId half(ownZone, 0, 2);
  const ShardId otherHalf(ownZone, 1, 2);
  table.setShards({ half, otherHalf });
  table.setKnownMembers(5);
  MemberView fresh = member("far", otherZone);
  fresh.isNew = true;
  table.memberSeen(fresh, now);
  advance(milliseconds(80));
  ASSERT_NE(takes(half), takes(otherHalf));
  const ShardId first = takes(half) ? half : otherHalf;
  const ShardId second = takes(half) ? otherHalf : half;
  table.taken(first, 5, now);
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
  table.setKnownMembers(5);
  table.memberSeen(member("far", otherZone), now);
  advance(milliseconds(500));
  std::uint64_t token = 10;
  for (unsigned held = 0; held < 3; ++held) {
    const auto taken = table.decide(now).take;
    ASSERT_EQ(taken.size(), 1u) << held;
    table.taken(taken[0], ++token, now);
    EXPECT_TRUE(table.decide(now).take.empty()) << held;
    advance(milliseconds(150));
  }
  for (const char* id : { "far-1", "far-2", "far-3", "far-4" })
    table.memberSeen(member(id, otherZone), now);
  EXPECT_EQ(table.decide(now).take.size(), 5u) << "all daemons are heard";
}

TEST_F(ShardTableTest, OfTwoHoldersTheOneWithMoreShardsReleases)
{
  table.setKnownMembers(1);
  table.taken(ownShard, 99, now);
  table.taken(ShardId(ownZone, 1), 99, now);
  table.memberSeen(member("mate", ownZone, { { ownShard, 8 } }), now);
  EXPECT_TRUE(releases(ownShard));
  table.memberSeen(member("mate",
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
  table.setKnownMembers(1);
  table.memberSeen(member("mate", ownZone, all), now);
  advance(milliseconds(900));
  EXPECT_TRUE(table.decide(now).take.empty())
    << "a new daemon may not have heard all others";
  advance(milliseconds(200));
  for (unsigned taken = 0; taken < 2; ++taken) {
    const auto take = table.decide(now).take;
    ASSERT_EQ(take.size(), 1u) << taken;
    table.taken(take[0], 50, now);
    all.erase(take[0]);
    table.memberSeen(member("mate", ownZone, all), now);
    EXPECT_TRUE(table.decide(now).take.empty()) << taken;
    advance(milliseconds(500));
  }
  EXPECT_TRUE(table.decide(now).take.empty()) << "both hold the same number";
}

TEST_F(ShardTableTest, LeavesAShardToItsHolder)
{
  table.setKnownMembers(1);
  table.memberSeen(member("mate", ownZone, { { ownShard, 5 } }), now);
  advance(seconds(1));
  EXPECT_FALSE(takes(ownShard));
  EXPECT_EQ(table.holder(ownShard), VmId("mate"));
}

TEST_F(ShardTableTest, OnlyOneOfAZonesDaemonsTakesAFreeShard)
{
  ShardTable other(VmId("mate"), ownZone, settings, start);
  other.setShards({ ownShard });
  other.setReady(true);
  table.memberSeen(member("mate", ownZone), now);
  other.memberSeen(member("self", ownZone), now);
  advance(seconds(1));
  const bool otherTakes = !other.decide(now).take.empty();
  EXPECT_NE(takes(ownShard), otherTakes);
}

TEST_F(ShardTableTest, TakesOverFromAHolderThatLeavesOrIsLost)
{
  MemberView leaving = member("mate", ownZone, { { ownShard, 5 } });
  leaving.isLeaving = true;
  table.setKnownMembers(2);
  table.memberSeen(leaving, now);
  table.memberSeen(member("far", otherZone), now);
  advance(seconds(1));
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, TakesAShardOfAnotherZoneWhoseLastDaemonLeaves)
{
  MemberView last = member("far", otherZone, { { foreignShard, 5 } });
  table.setKnownMembers(1);
  table.memberSeen(last, now);
  advance(seconds(1));
  EXPECT_FALSE(takes(foreignShard));
  last.isLeaving = true;
  table.memberSeen(last, now);
  EXPECT_TRUE(takes(foreignShard));
  table.taken(foreignShard, 6, now);
  EXPECT_EQ(table.holder(foreignShard), VmId("self"));
  EXPECT_FALSE(releases(foreignShard))
    << "a leaving daemon doesn't get it back";
  table.memberSeen(member("next", otherZone, { { foreignShard, 7 } }), now);
  EXPECT_TRUE(releases(foreignShard));
}

TEST_F(ShardTableTest, LeavesAForeignShardToTheRemainingDaemonOfItsZone)
{
  MemberView leaving = member("far", otherZone, { { foreignShard, 5 } });
  leaving.isLeaving = true;
  table.setKnownMembers(2);
  table.memberSeen(leaving, now);
  table.memberSeen(member("near-it", otherZone), now);
  advance(seconds(1));
  EXPECT_FALSE(takes(foreignShard));
}

TEST_F(ShardTableTest, LeavesAForeignShardToTheDaemonThatHasTakenItOver)
{
  MemberView leaving = member("far", otherZone, { { foreignShard, 5 } });
  leaving.isLeaving = true;
  table.setKnownMembers(2);
  table.memberSeen(leaving, now);
  table.memberSeen(member("third", ZoneName("z3"), { { foreignShard, 6 } }),
                   now);
  advance(seconds(1));
  EXPECT_FALSE(takes(foreignShard));
  EXPECT_EQ(table.holder(foreignShard), VmId("third"));
}

TEST_F(ShardTableTest, JobsGoToShardsOfOthersUntilWorkersAreKnown)
{
  table.setShards({});
  EXPECT_TRUE(table.servedShards().empty());
  table.memberSeen(member("mate", ownZone, { { ownShard, 5 } }), now);
  EXPECT_EQ(table.servedShards(), std::set<ShardId>{ ownShard });
  EXPECT_EQ(table.holder(ownShard), VmId("mate"));
  table.setShards({ foreignShard });
  EXPECT_EQ(table.servedShards(), std::set<ShardId>{ foreignShard });
}

TEST_F(ShardTableTest,
       TakesAShardOfALostZoneOnceItsWorkersReportThatNoDaemonUsesThem)
{
  table.setKnownMembers(2);
  table.memberSeen(member("third", ZoneName("z3"), { { ownShard, 3 } }), now);
  table.memberSeen(member("far", otherZone, { { foreignShard, 5 } }), now);
  advance(seconds(1));
  EXPECT_TRUE(table.orphans(now).empty());
  table.memberGone(VmId("far"), now);
  EXPECT_FALSE(takes(foreignShard));
  const std::map<ShardId, std::uint64_t> asked = { { foreignShard, 5 } };
  EXPECT_EQ(table.orphans(now), asked);
  table.setVacant(foreignShard, now);
  EXPECT_TRUE(takes(foreignShard));
  advance(milliseconds(300));
  EXPECT_FALSE(takes(foreignShard)) << "the report is too old";
  table.setVacant(foreignShard, now);
  table.memberSeen(member("far", otherZone), now);
  EXPECT_FALSE(takes(foreignShard)) << "the zone has a daemon again";
}

TEST_F(ShardTableTest, ALeavingDaemonReleasesToAnotherZone)
{
  table.taken(ownShard, 7, now);
  table.memberSeen(member("far", otherZone, { { ownShard, 9 } }), now);
  EXPECT_FALSE(releases(ownShard));
  table.setLeaving();
  EXPECT_TRUE(releases(ownShard));
}

TEST_F(ShardTableTest, OfTwoHoldersTheOneWithTheLowerTokenReleases)
{
  table.taken(ownShard, 7, now);
  table.memberSeen(member("mate", ownZone, { { ownShard, 5 } }), now);
  EXPECT_FALSE(releases(ownShard));
  table.memberSeen(member("mate", ownZone, { { ownShard, 9 } }), now);
  EXPECT_TRUE(releases(ownShard));
}

TEST_F(ShardTableTest, ADaemonOfTheZoneHasPriorityOverAForeignOne)
{
  table.taken(ownShard, 7, now);
  table.memberSeen(member("far", otherZone, { { ownShard, 99 } }), now);
  EXPECT_FALSE(releases(ownShard));
  table.taken(foreignShard, 99, now);
  table.memberSeen(member("far", otherZone, { { foreignShard, 7 } }), now);
  EXPECT_TRUE(releases(foreignShard));
}

TEST_F(ShardTableTest, AnIsolatedDaemonTakesNothingForAWhile)
{
  table.setKnownMembers(1);
  table.memberSeen(member("mate", ownZone), now);
  advance(seconds(1));
  table.memberGone(VmId("mate"), now);
  EXPECT_FALSE(takes(ownShard));
  advance(settings.isolatedTakeDelay);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, AnIsolatedDaemonRespectsTheHoldersHeartbeatAtThePlatform)
{
  table.setKnownMembers(1);
  table.memberSeen(member("mate", ownZone), now);
  table.memberGone(VmId("mate"), now);
  advance(settings.isolatedTakeDelay + seconds(1));
  table.platformBeat(ownShard, VmId("mate"), now);
  EXPECT_FALSE(takes(ownShard));
  advance(settings.maxPlatformHeartbeatAge);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest,
       AnIsolatedDaemonReleasesAShardWhoseWorkersOthersHaveClaimed)
{
  table.setKnownMembers(1);
  table.taken(ownShard, 7, now);
  table.fenced(ownShard, now);
  EXPECT_TRUE(releases(ownShard));
  table.memberSeen(member("mate", ownZone), now);
  EXPECT_FALSE(releases(ownShard))
    << "another daemon is heard, so this one isn't isolated";
}

TEST_F(ShardTableTest, DoesNotRetakeAReleasedShardBeforeTheDelay)
{
  table.setKnownMembers(1);
  table.memberSeen(member("far", otherZone), now);
  table.taken(ownShard, 7, now);
  advance(seconds(1));
  table.released(ownShard, now);
  EXPECT_FALSE(takes(ownShard));
  advance(settings.retakeDelay);
  EXPECT_TRUE(takes(ownShard));
}

TEST_F(ShardTableTest, AForeignShardIsTakenOnlyAfterAPlatformRead)
{
  table.setKnownMembers(2);
  table.memberSeen(member("mate", ownZone), now);
  table.memberSeen(member("far", otherZone), now);
  table.memberGone(VmId("far"), now);
  advance(settings.foreignTakeDelay + seconds(1));
  table.memberSeen(member("mate", ownZone, { { ownShard, 1 } }), now);
  EXPECT_FALSE(takes(foreignShard)) << "the platform was not read";
  table.platformRead(now);
  const bool isFirst = takes(foreignShard);
  table.memberGone(VmId("mate"), now);
  table.memberSeen(member("zzz", ownZone), now);
  table.platformRead(now);
  const bool isFirstToo = takes(foreignShard);
  EXPECT_TRUE(isFirst || isFirstToo) << "one of the two candidates takes it";
  table.platformBeat(foreignShard, VmId("far"), now);
  EXPECT_FALSE(takes(foreignShard)) << "the holder is alive";
}

TEST_F(ShardTableTest, AHolderShortOfProcessorTimeGivesWayToOneThatIsNot)
{
  table.setKnownMembers(1);
  MemberView mate = member("mate", ownZone, { { ownShard, 5 } });
  mate.isStrained = true;
  table.memberSeen(mate, now);
  advance(seconds(1));
  EXPECT_TRUE(takes(ownShard));
  table.setStrained(true);
  EXPECT_FALSE(takes(ownShard)) << "this daemon is short of processor time too";
}

TEST_F(ShardTableTest, IfAllAreShortOfProcessorTimeOneStillTakesAFreeShard)
{
  table.setKnownMembers(1);
  MemberView mate = member("mate", ownZone);
  mate.isStrained = true;
  ShardTable other(VmId("mate"), ownZone, settings, start);
  other.setShards({ ownShard });
  other.setReady(true);
  other.setStrained(true);
  other.setKnownMembers(1);
  MemberView self = member("self", ownZone);
  self.isStrained = true;
  table.setStrained(true);
  table.memberSeen(mate, now);
  other.memberSeen(self, now);
  advance(seconds(1));
  const bool otherTakes = !other.decide(now).take.empty();
  EXPECT_NE(takes(ownShard), otherTakes);
}

TEST_F(ShardTableTest, ADaemonThatCanHoldMoreWorkersTakesMoreShards)
{
  MemberView mate = member("mate", ownZone);
  mate.carried = 8;
  mate.slowness = -5;
  table.setCarried(40);
  table.setKnownMembers(1);
  const ShardId half(ownZone, 1, 2);
  table.setShards({ half });
  table.memberSeen(mate, now);
  advance(seconds(1));
  for (const unsigned held : { 0u, 1u, 2u, 3u }) {
    EXPECT_TRUE(takes(half)) << held;
    table.taken(ShardId(ownZone, held, 64), 5, now);
  }
  table.taken(ShardId(ownZone, 4, 64), 5, now);
  EXPECT_FALSE(takes(half)) << "its load would be higher";
}

TEST_F(ShardTableTest, ReturnsWhatTheWeakestDaemonOfEachZoneCanHold)
{
  table.setCarried(40);
  MemberView mate = member("mate", ownZone);
  mate.carried = 8;
  MemberView far = member("far", otherZone);
  far.carried = 20;
  EXPECT_TRUE(table.memberSeen(mate, now));
  EXPECT_TRUE(table.memberSeen(far, now));
  EXPECT_FALSE(table.memberSeen(mate, now));
  const std::map<ZoneName, std::size_t> both = { { ownZone, 8 },
                                                 { otherZone, 20 } };
  EXPECT_EQ(table.weakestCarried(), both);
  table.memberGone(VmId("mate"), now);
  table.memberGone(VmId("far"), now);
  const std::map<ZoneName, std::size_t> own = { { ownZone, 40 } };
  EXPECT_EQ(table.weakestCarried(), own);
}

TEST_F(ShardTableTest, TakesNothingBeforeItIsReadyOrWhenItLeaves)
{
  table.setKnownMembers(1);
  table.memberSeen(member("far", otherZone), now);
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
