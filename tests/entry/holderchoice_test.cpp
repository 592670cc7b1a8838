#include "libentry/holderchoice.h"

#include <gtest/gtest.h>

#include <map>

namespace cowslippin::testing {
namespace {

HolderChoice
shardWith(unsigned index, unsigned places)
{
  HolderChoice choice;
  choice.holder = VmId("vm-" + std::to_string(index));
  choice.shard = ShardId(ZoneName("z1"), index, 3);
  choice.places = places;
  return choice;
}

TEST(HolderChooser, PrefersShardsOfItsZoneHoweverFullTheyAre)
{
  HolderChooser chooser;
  EXPECT_FALSE(chooser.choose({}, {}));
  const auto home = chooser.choose({ shardWith(0, 0) }, { shardWith(1, 9) });
  EXPECT_EQ(home->shard, shardWith(0, 0).shard);
  const auto abroad = chooser.choose({}, { shardWith(1, 9) });
  EXPECT_EQ(abroad->shard, shardWith(1, 9).shard);
}

/// Three shards with room for 30, 10 and 0: the first gets the most, but what
/// was told may be old, so that the second gets its part as well.
TEST(HolderChooser, SharesByRoomWithoutSendingEverythingToOne)
{
  HolderChooser chooser;
  std::map<unsigned, int> chosen;
  for (int job = 0; job < 90; ++job) {
    const auto choice = chooser.choose(
      { shardWith(0, 30), shardWith(1, 10), shardWith(2, 0) }, {});
    ++chosen[choice->shard.index()];
  }
  EXPECT_GT(chosen[0], chosen[1]);
  EXPECT_GT(chosen[1], chosen[2]);
  EXPECT_LT(chosen[0], 75);
}

TEST(HolderChooser, AJobThatWasRefusedGoesWhereMostRoomIs)
{
  EXPECT_FALSE(HolderChooser::roomiest({}, {}));
  const auto abroad = HolderChooser::roomiest(
    { shardWith(0, 1), shardWith(1, 2) }, { shardWith(2, 5), shardWith(3, 3) });
  EXPECT_EQ(abroad->places, 5u);
  const auto home =
    HolderChooser::roomiest({ shardWith(0, 4) }, { shardWith(1, 4) });
  EXPECT_EQ(home->shard.index(), 0u);
}

} // namespace
} // namespace cowslippin::testing
