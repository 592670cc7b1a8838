#include "libshards/memberindex.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const ShardId firstShard(ZoneName("z1"), 0);
const ShardId secondShard(ZoneName("z2"), 0);

MemberView
member(const std::string& id, const std::string& zone)
{
  MemberView view;
  view.id = VmId(id);
  view.zone = ZoneName(zone);
  return view;
}

TEST(MemberIndex, KnowsTheCurrentClaimantsOfAShard)
{
  MemberIndex index;
  MemberView view = member("a", "z1");
  view.shards = { { firstShard, 1 }, { secondShard, 2 } };
  index.put(view);
  EXPECT_EQ(index.claimants(firstShard).count(view.id), 1u);
  view.shards = { { secondShard, 3 } };
  index.put(view);
  EXPECT_TRUE(index.claimants(firstShard).empty());
  ASSERT_EQ(index.claimants(secondShard).count(view.id), 1u);
  EXPECT_EQ(index.claimants(secondShard).at(view.id)->shards.at(secondShard),
            3u);
  index.erase(view.id);
  EXPECT_TRUE(index.claimants(secondShard).empty());
  EXPECT_EQ(index.find(view.id), nullptr);
}

TEST(MemberIndex, AZoneIsActiveWhileAMemberOfItIsNotLeaving)
{
  MemberIndex index;
  index.put(member("a", "z1"));
  index.put(member("b", "z1"));
  MemberView leaving = member("a", "z1");
  leaving.isLeaving = true;
  index.put(leaving);
  EXPECT_TRUE(index.hasActiveMember(ZoneName("z1")));
  index.erase(VmId("b"));
  EXPECT_FALSE(index.hasActiveMember(ZoneName("z1")));
  index.put(member("a", "z2"));
  EXPECT_TRUE(index.hasActiveMember(ZoneName("z2")))
    << "the member is back in another zone";
  EXPECT_FALSE(index.hasActiveMember(ZoneName("z1")));
}

} // namespace
} // namespace cowslippin::testing
