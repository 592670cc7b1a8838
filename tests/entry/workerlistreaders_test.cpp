#include "libentry/workerlistreaders.h"

#include <gtest/gtest.h>

#include <string>

namespace cowslippin::testing {
namespace {

const ZoneName homeZone("z1");

MemberView
member(const std::string& id, int slowness, const ZoneName& zone = homeZone)
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

TEST(WorkerListReaders, AreTheTwoFastestDaemonsOfEachZone)
{
  const auto members = membersOf({ member("a", 3),
                                   member("b", 9),
                                   member("c", 8),
                                   member("x", 1, ZoneName("z2")) });
  const WorkerListReaders self(VmId("self"), homeZone, 5);
  EXPECT_TRUE(self.isReader(members));
  EXPECT_EQ(self.followers(members),
            (std::vector<VmId>{ VmId("c"), VmId("b") }));
  const WorkerListReaders slow(VmId("slow"), homeZone, 10);
  EXPECT_FALSE(slow.isReader(members));
  EXPECT_TRUE(slow.followers(members).empty());
}

TEST(WorkerListReaders, DaemonsThatAreLeavingOrNotReadyDoNotRead)
{
  MemberView leaving = member("a", 1);
  leaving.isLeaving = true;
  MemberView unready = member("b", 1);
  unready.isReady = false;
  const auto members = membersOf({ leaving, unready, member("c", 2) });
  EXPECT_TRUE(WorkerListReaders(VmId("self"), homeZone, 5).isReader(members));
}

TEST(WorkerListReaders, ADaemonWithoutPeersReads)
{
  EXPECT_TRUE(WorkerListReaders(VmId("self"), homeZone, 5).isReader({}));
}

/// Guards against load on the platform that grows with the number of daemons:
/// in a zone of 300 daemons as many read the list of workers as in a small one.
TEST(WorkerListReaders, DoNotGrowInNumberWithTheZone)
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
    readers += WorkerListReaders(vm, homeZone, view.slowness).isReader(others);
  }
  EXPECT_EQ(readers, WorkerListReaders::perZone);
}

} // namespace
} // namespace cowslippin::testing
