#include "libshards/memberindex.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const ShardId north(ZoneName("z1"), 0);
const ShardId south(ZoneName("z2"), 0);

MemberView
member(const std::string& id, const std::string& zone)
{
  MemberView view;
  view.id = VmId(id);
  view.zone = ZoneName(zone);
  return view;
}

TEST(MemberIndex, KnowsWhoClaimsAShardNow)
{
  MemberIndex index;
  MemberView view = member("a", "z1");
  view.shards = { { north, 1 }, { south, 2 } };
  index.put(view);
  EXPECT_EQ(index.claimants(north).count(view.id), 1u);
  view.shards = { { south, 3 } };
  index.put(view);
  EXPECT_TRUE(index.claimants(north).empty());
  ASSERT_EQ(index.claimants(south).count(view.id), 1u);
  EXPECT_EQ(index.claimants(south).at(view.id)->shards.at(south), 3u);
  index.erase(view.id);
  EXPECT_TRUE(index.claimants(south).empty());
  EXPECT_EQ(index.find(view.id), nullptr);
}

TEST(MemberIndex, AZoneIsThereWhileAMemberOfItStays)
{
  MemberIndex index;
  index.put(member("a", "z1"));
  index.put(member("b", "z1"));
  MemberView leaving = member("a", "z1");
  leaving.isLeaving = true;
  index.put(leaving);
  EXPECT_TRUE(index.hasZone(ZoneName("z1")));
  index.erase(VmId("b"));
  EXPECT_FALSE(index.hasZone(ZoneName("z1")));
  index.put(member("a", "z2"));
  EXPECT_TRUE(index.hasZone(ZoneName("z2"))) << "it is back in another zone";
  EXPECT_FALSE(index.hasZone(ZoneName("z1")));
}

} // namespace
} // namespace cowslippin::testing
