#include "libjobs/peerslots.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const ShardId first(ZoneName("z1"), 0);
const ShardId second(ZoneName("z1"), 1);

TEST(PeerSlots, OffersTheShardWithTheMostSlots)
{
  PeerSlots slots;
  EXPECT_FALSE(slots.bestOffer());
  slots.set(VmId("a"), first, 3);
  slots.set(VmId("b"), second, 5);
  const auto best = slots.bestOffer();
  ASSERT_TRUE(best);
  EXPECT_EQ(best->holder, VmId("b"));
  EXPECT_EQ(best->shard, second);
  EXPECT_EQ(best->slots, 5U);
}

TEST(PeerSlots, LeavesTheLastSlotToTheHolder)
{
  PeerSlots slots;
  slots.set(VmId("a"), first, 2);
  EXPECT_TRUE(slots.useSlot(first));
  EXPECT_FALSE(slots.useSlot(first));
  EXPECT_FALSE(slots.bestOffer());
  EXPECT_FALSE(slots.useSlot(second)) << "no holder has advertised it";
}

TEST(PeerSlots, OffersNoSlotsOfAForgottenHolder)
{
  PeerSlots slots;
  slots.set(VmId("a"), first, 4);
  slots.set(VmId("b"), second, 2);
  slots.forget(VmId("a"));
  ASSERT_TRUE(slots.bestOffer());
  EXPECT_EQ(slots.bestOffer()->holder, VmId("b"));
}

} // namespace
} // namespace cowslippin::testing
