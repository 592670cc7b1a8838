#include "libentry/holderchoice.h"

#include <gtest/gtest.h>

#include <map>

namespace cowslippin::testing {
namespace {

HolderChoice
shardWithSlots(unsigned index, unsigned slots)
{
  HolderChoice choice;
  choice.holder = VmId("vm-" + std::to_string(index));
  choice.shard = ShardId(ZoneName("z1"), index, 3);
  choice.freeSlots = slots;
  return choice;
}

TEST(HolderChooser, PrefersShardsOfItsOwnZoneWithRoomForTheJob)
{
  HolderChooser chooser;
  EXPECT_FALSE(chooser.choose({}, {}, 1));
  const auto sameZone =
    chooser.choose({ shardWithSlots(0, 2) }, { shardWithSlots(1, 9) }, 2);
  EXPECT_EQ(sameZone->shard, shardWithSlots(0, 2).shard);
  const auto otherZone = chooser.choose({}, { shardWithSlots(1, 9) }, 2);
  EXPECT_EQ(otherZone->shard, shardWithSlots(1, 9).shard);
}

/// Guards against holders of a zone that spend their processor time on refusing
/// and returning tasks while another zone has room, as after the callers of all
/// zones have moved to one.
TEST(HolderChooser, LeavesAFullZoneForOneWithRoomForTheWholeJob)
{
  HolderChooser chooser;
  const std::vector<HolderChoice> full = { shardWithSlots(0, 0),
                                           shardWithSlots(1, 1) };
  const auto elsewhere = chooser.choose(full, { shardWithSlots(2, 9) }, 2);
  EXPECT_EQ(elsewhere->shard.index(), 2u);
  const auto nowhere = chooser.choose(full, { shardWithSlots(2, 1) }, 2);
  EXPECT_EQ(nowhere->shard.index(), 1u);
}

/// One shard of four has room for the job. The two that are compared first may
/// be others, but the job stays in its zone.
TEST(HolderChooser, FindsTheOnlyShardOfItsZoneWithRoom)
{
  HolderChooser chooser;
  for (int job = 0; job < 12; ++job) {
    const auto choice = chooser.choose({ shardWithSlots(0, 0),
                                         shardWithSlots(1, 0),
                                         shardWithSlots(2, 4),
                                         shardWithSlots(3, 0) },
                                       { shardWithSlots(4, 9) },
                                       3);
    EXPECT_EQ(choice->shard.index(), 2u);
  }
}

/// Three shards advertise 30, 10 and 0 free slots. The first shard gets most
/// jobs, but the figures may be outdated, so that the second one gets its share
/// as well.
TEST(HolderChooser, DistributesByFreePlacesWithoutSendingAllToOne)
{
  HolderChooser chooser;
  std::map<unsigned, int> chosen;
  for (int job = 0; job < 90; ++job) {
    const auto choice = chooser.choose(
      { shardWithSlots(0, 30), shardWithSlots(1, 10), shardWithSlots(2, 0) },
      {},
      1);
    ++chosen[choice->shard.index()];
  }
  EXPECT_GT(chosen[0], chosen[1]);
  EXPECT_GT(chosen[1], chosen[2]);
  EXPECT_LT(chosen[0], 75);
}

TEST(HolderChooser, ARefusedJobGoesToTheShardWithMostFreePlaces)
{
  EXPECT_FALSE(HolderChooser::mostFreeSlots({}, {}));
  const auto otherZone = HolderChooser::mostFreeSlots(
    { shardWithSlots(0, 1), shardWithSlots(1, 2) },
    { shardWithSlots(2, 5), shardWithSlots(3, 3) });
  EXPECT_EQ(otherZone->freeSlots, 5u);
  const auto sameZone = HolderChooser::mostFreeSlots({ shardWithSlots(0, 4) },
                                                     { shardWithSlots(1, 4) });
  EXPECT_EQ(sameZone->shard.index(), 0u);
}

} // namespace
} // namespace cowslippin::testing
