#include "libjobs/peerplaces.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const ShardId first(ZoneName("z1"), 0);
const ShardId second(ZoneName("z1"), 1);

TEST(PeerSlots, OffersTheShardWithTheMostSlots)
{
  PeerSlots slots;
  EXPECT_FALSE(slots.best());
  slots.set(VmId("a"), first, 3);
  slots.set(VmId("b"), second, 5);
  const auto best = slots.best();
  ASSERT_TRUE(best);
  EXPECT_EQ(best->holder, VmId("b"));
  EXPECT_EQ(best->shard, second);
  EXPECT_EQ(best->slots, 5U);
}

TEST(PeerSlots, LeavesTheLastSlotToTheHolder)
{
  PeerSlots slots;
  slots.set(VmId("a"), first, 2);
  EXPECT_TRUE(slots.take(first));
  EXPECT_FALSE(slots.take(first));
  EXPECT_FALSE(slots.best());
  EXPECT_FALSE(slots.take(second)) << "no holder has advertised it";
}

TEST(PeerSlots, OffersNoSlotsOfAForgottenHolder)
{
  PeerSlots slots;
  slots.set(VmId("a"), first, 4);
  slots.set(VmId("b"), second, 2);
  slots.forget(VmId("a"));
  ASSERT_TRUE(slots.best());
  EXPECT_EQ(slots.best()->holder, VmId("b"));
}

} // namespace
} // namespace cowslippin::testing
