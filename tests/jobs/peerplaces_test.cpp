#include "libjobs/peerplaces.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const ShardId first(ZoneName("z1"), 0);
const ShardId second(ZoneName("z1"), 1);

TEST(PeerPlaces, OffersTheShardWithMostPlaces)
{
  PeerPlaces places;
  EXPECT_FALSE(places.best());
  places.set(VmId("a"), first, 3);
  places.set(VmId("b"), second, 5);
  const auto best = places.best();
  ASSERT_TRUE(best);
  EXPECT_EQ(best->holder, VmId("b"));
  EXPECT_EQ(best->shard, second);
  EXPECT_EQ(best->places, 5U);
}

TEST(PeerPlaces, TheLastPlaceIsLeftToTheHolder)
{
  PeerPlaces places;
  places.set(VmId("a"), first, 2);
  EXPECT_TRUE(places.take(first));
  EXPECT_FALSE(places.take(first));
  EXPECT_FALSE(places.best());
  EXPECT_FALSE(places.take(second)) << "nobody told of it";
}

TEST(PeerPlaces, AHolderThatIsGoneOffersNothing)
{
  PeerPlaces places;
  places.set(VmId("a"), first, 4);
  places.set(VmId("b"), second, 2);
  places.forget(VmId("a"));
  ASSERT_TRUE(places.best());
  EXPECT_EQ(places.best()->holder, VmId("b"));
}

} // namespace
} // namespace cowslippin::testing
