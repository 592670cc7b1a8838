#include "libentry/peerreports.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

constexpr TimePoint now{ std::chrono::seconds(1000) };
const VmId peer("peer");
const ShardId first(ZoneName("z1"), 0, 2);
const ShardId second(ZoneName("z1"), 1, 2);

PeerHeartbeat
heartbeatWith(std::map<ShardId, HeldShard> shards)
{
  PeerHeartbeat beat;
  beat.shards = std::move(shards);
  return beat;
}

/// Guards against free slots that stay known of a shard whose holder has
/// released it, and to which tasks would be returned.
TEST(PeerReports, SayWhetherThePeerHoldsOtherShardsThanBefore)
{
  PeerReports reports;
  EXPECT_FALSE(reports.received(peer, heartbeatWith({}), now));
  EXPECT_TRUE(
    reports.received(peer, heartbeatWith({ { first, { 5, 4, 7 } } }), now));
  EXPECT_FALSE(
    reports.received(peer, heartbeatWith({ { first, { 5, 2, 8 } } }), now));
  EXPECT_TRUE(
    reports.received(peer, heartbeatWith({ { second, { 5, 2, 8 } } }), now));
  EXPECT_TRUE(reports.received(
    peer,
    heartbeatWith({ { first, { 6, 1, 1 } }, { second, { 5, 2, 8 } } }),
    now));
  EXPECT_TRUE(
    reports.received(peer, heartbeatWith({ { first, { 6, 1, 1 } } }), now));
  EXPECT_TRUE(reports.received(peer, heartbeatWith({}), now));
}

/// Guards against a report of which a part is that of an earlier heartbeat.
TEST(PeerReports, GiveTheLastHeartbeat)
{
  PeerReports reports;
  reports.setZone(peer, ZoneName("z1"));
  reports.received(peer, heartbeatWith({ { first, { 5, 4, 7 } } }), now);
  PeerHeartbeat beat = heartbeatWith({ { first, { 5, 2, 8 } } });
  beat.isLeaving = true;
  beat.isReady = true;
  beat.isCpuStarved = true;
  beat.hasJustStarted = true;
  beat.slowness = 9;
  beat.workerCapacity = 30;
  beat.taskRate = 200;
  reports.received(peer, beat, now);
  MemberView expected;
  expected.id = peer;
  expected.zone = ZoneName("z1");
  expected.isLeaving = true;
  expected.isReady = true;
  expected.isCpuStarved = true;
  expected.hasJustStarted = true;
  expected.slowness = 9;
  expected.workerCapacity = 30;
  expected.taskRate = 200;
  expected.shards = { { first, 5 } };
  EXPECT_EQ(reports.member(peer), expected);
  EXPECT_EQ(reports.freeSlots(peer, first), 2U);
  EXPECT_EQ(reports.workersDigest(peer, first), 8U);
}

} // namespace
} // namespace cowslippin::testing
