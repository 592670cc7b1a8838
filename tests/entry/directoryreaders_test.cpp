#include "libentry/directoryreaders.h"

#include <gtest/gtest.h>

#include <string>

namespace cowslippin::testing {
namespace {

const ZoneName home("z1");

MemberView
member(const std::string& id, int slowness, const ZoneName& zone = home)
{
  MemberView view;
  view.id = VmId(id);
  view.zone = zone;
  view.slowness = slowness;
  view.isReady = true;
  return view;
}

MemberIndex::Members
membersOf(const std::vector<MemberView>& views)
{
  MemberIndex::Members members;
  for (const MemberView& view : views)
    members[view.id] = view;
  return members;
}

TEST(DirectoryReaders, AreTheTwoFastestDaemonsOfEachZone)
{
  const auto members = membersOf({ member("a", 3),
                                   member("b", 9),
                                   member("c", 8),
                                   member("x", 1, ZoneName("z2")) });
  const DirectoryReaders self(VmId("self"), home, 5);
  EXPECT_TRUE(self.isReader(members));
  EXPECT_EQ(self.followers(members),
            (std::vector<VmId>{ VmId("c"), VmId("b") }));
  const DirectoryReaders slow(VmId("slow"), home, 10);
  EXPECT_FALSE(slow.isReader(members));
  EXPECT_TRUE(slow.followers(members).empty());
}

TEST(DirectoryReaders, ThoseThatLeaveOrKnowNothingYetDoNotRead)
{
  MemberView leaving = member("a", 1);
  leaving.isLeaving = true;
  MemberView unready = member("b", 1);
  unready.isReady = false;
  const auto members = membersOf({ leaving, unready, member("c", 2) });
  EXPECT_TRUE(DirectoryReaders(VmId("self"), home, 5).isReader(members));
}

TEST(DirectoryReaders, ADaemonThatHearsNobodyReads)
{
  EXPECT_TRUE(DirectoryReaders(VmId("self"), home, 5).isReader({}));
}

/// Three hundred daemons: what the platform is asked for doesn't grow with
/// them.
TEST(DirectoryReaders, AreAsManyInALargeZone)
{
  MemberIndex::Members all;
  for (int i = 0; i < 300; ++i) {
    const MemberView view = member("vm-" + std::to_string(i), i % 4);
    all[view.id] = view;
  }
  std::size_t readers = 0;
  for (const auto& [vm, view] : all) {
    MemberIndex::Members others = all;
    others.erase(vm);
    readers += DirectoryReaders(vm, home, view.slowness).isReader(others);
  }
  EXPECT_EQ(readers, DirectoryReaders::perZone);
}

} // namespace
} // namespace cowslippin::testing
