#include "dispatchfixture.h"

#include <numeric>

namespace cowslippin {
namespace {

VirtualMachine
entryVm(const std::string& id,
        const std::string& zone,
        Availability availability = Availability::Live)
{
  VirtualMachine::Fields fields;
  fields.id = VmId(id);
  fields.zone = ZoneName(zone);
  fields.availability = availability;
  return VirtualMachine(fields);
}

struct DealCase
{
  std::string name;
  /// Each letter is a daemon in the zone of that name.
  std::string daemons;
  std::string endpoints;
  int slots;
  /// The slots of each daemon in all, and in its own zone.
  std::vector<int> expected;
  std::vector<int> expectedOwnZone;
  /// How often each endpoint's slots are dealt in all.
  int expectedDealt;

  friend std::ostream& operator<<(std::ostream& out, const DealCase& row)
  {
    return out << row.name;
  }
};

class DealTest : public testing::TestWithParam<DealCase>
{};

TEST_P(DealTest, EverySlotHasOneDaemonAndEveryDaemonASlot)
{
  const DealCase& row = GetParam();
  std::vector<VirtualMachine> vms;
  for (const char zone : row.daemons) {
    vms.push_back(
      entryVm("vm" + std::to_string(vms.size()), std::string(1, zone)));
  }
  std::vector<Endpoint> endpoints;
  for (const char zone : row.endpoints) {
    endpoints.push_back(DispatchFixture::endpoint(
      "e" + std::to_string(endpoints.size()), std::string(1, zone), row.slots));
  }
  std::vector<const Endpoint*> pointers;
  pointers.reserve(endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    pointers.push_back(&endpoint);
  }
  std::vector<int> dealt(endpoints.size(), 0);
  std::vector<int> totals;
  std::vector<int> ownZone;
  for (const VirtualMachine& vm : vms) {
    const SlotDealer dealer(vms, vm.id(), vm.zone());
    const std::vector<int> own = dealer.deal(pointers);
    int inZone = 0;
    for (std::size_t i = 0; i < own.size(); ++i) {
      dealt[i] += own[i];
      inZone += endpoints[i].zone() == vm.zone() ? own[i] : 0;
    }
    totals.push_back(std::accumulate(own.begin(), own.end(), 0));
    ownZone.push_back(inZone);
  }
  EXPECT_EQ(totals, row.expected);
  EXPECT_EQ(ownZone, row.expectedOwnZone);
  EXPECT_EQ(dealt, std::vector<int>(endpoints.size(), row.expectedDealt));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  DealTest,
  testing::Values(
    DealCase{ "One", "a", "ab", 8, { 16 }, { 8 }, 8 },
    DealCase{ "Even", "ab", "aabb", 4, { 8, 8 }, { 8, 8 }, 4 },
    DealCase{ "Remainder", "aaa", "aa", 4, { 3, 3, 2 }, { 3, 3, 2 }, 4 },
    DealCase{ "ZoneWithFewDaemons",
              "aab",
              "aabb",
              6,
              { 8, 8, 8 },
              { 6, 6, 8 },
              6 },
    DealCase{ "ZoneWithoutDaemon", "aa", "ab", 4, { 4, 4 }, { 2, 2 }, 4 },
    DealCase{ "MoreDaemonsThanSlots",
              "aaaa",
              "a",
              2,
              { 1, 1, 1, 1 },
              { 1, 1, 1, 1 },
              4 }),
  [](const auto& info) { return info.param.name; });

struct LendingCase
{
  std::string name;
  int tasks;
  int slotsFree;
  int inFlight;
};

class LendingTest : public testing::TestWithParam<LendingCase>
{};

TEST_P(LendingTest, SlotsOfOthersAreUsedOnlyOnTheEndpointsWord)
{
  DispatchSettings settings;
  settings.lendingReserve = 1;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(1, 8));
  fixture.dispatcher.setDaemons(
    { entryVm("vm0", "a"), entryVm("vm1", "a") }, VmId("vm0"), fixture.now);
  fixture.submitMany(DispatchFixture::task("job"), GetParam().tasks);
  // Four are its own, and one is borrowed to learn of the others.
  const std::vector<Start> running = fixture.pollStarts();
  ASSERT_EQ(running.size(), 5U);
  AttemptReport report;
  report.endpoint = running[0].endpoint();
  report.end = AttemptEnd::Answered;
  report.runTime = milliseconds(100);
  report.slotsFree = GetParam().slotsFree;
  fixture.dispatcher.finished(running[0].task(), report, fixture.now);
  fixture.pollStarts();
  EXPECT_EQ(fixture.statsOf("e0").inFlight, GetParam().inFlight);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  LendingTest,
  testing::Values(LendingCase{ "LastFreeOneIsLeft", 9, 4, 7 },
                  LendingCase{ "LastFreeOneAgainstABacklog", 40, 4, 8 },
                  LendingCase{ "OnlyOneFree", 9, 1, 4 },
                  LendingCase{ "OnlyOneFreeAgainstABacklog", 40, 1, 5 },
                  LendingCase{ "NoneFree", 40, 0, 4 }),
  [](const auto& info) { return info.param.name; });

TEST(Lending, DaemonWithoutSlotsOfItsOwnBorrowsOne)
{
  DispatchFixture fixture;
  fixture.list({ DispatchFixture::endpoint("e0", "b", 8) });
  fixture.dispatcher.setDaemons(
    { entryVm("vm1", "b"),
      entryVm("vm2", "b"),
      entryVm("worse", "a", Availability::Leaving) },
    VmId("vm0"),
    fixture.now);
  fixture.submitMany(DispatchFixture::task("job"), 9);
  EXPECT_EQ(fixture.pollStarts().size(), 4U);
}

TEST(Lending, SilentEndpointIsLentOneOnlyWhenNoReplyIsDue)
{
  for (const bool isBusy : { true, false }) {
    DispatchFixture fixture;
    fixture.list({ DispatchFixture::endpoint("e0", "b", 8),
                   DispatchFixture::endpoint("e1", "a", 1) });
    // The only slot of vm0 is that of e1.
    fixture.dispatcher.setDaemons({ entryVm("vm1", "b"),
                                    entryVm("vm2", "b"),
                                    entryVm("vm3", "b"),
                                    entryVm("vm4", "b"),
                                    entryVm("vm5", "b"),
                                    entryVm("vm6", "b"),
                                    entryVm("vm7", "b"),
                                    entryVm("vm8", "b") },
                                  VmId("vm0"),
                                  fixture.now);
    fixture.submitMany(DispatchFixture::task("job"), 100);
    Start atOwn = fixture.pollStarts().at(0);
    ASSERT_EQ(atOwn.endpoint().value(), "e1");
    ASSERT_EQ(fixture.statsOf("e0").inFlight, 1);
    if (!isBusy) {
      const Start borrowed(
        TaskId(SubmissionKey("job"), 1), EndpointId("e0"), 1);
      fixture.finish(borrowed, AttemptEnd::NotStarted);
      fixture.pollStarts();
      ASSERT_EQ(fixture.statsOf("e0").inFlight, 0);
    }
    for (int i = 0; i < 40; ++i) {
      fixture.now += milliseconds(100);
      fixture.finish(atOwn, AttemptEnd::Answered);
      for (const Start& start : fixture.pollStarts()) {
        atOwn = start.endpoint().value() == "e1" ? start : atOwn;
      }
    }
    EXPECT_EQ(fixture.statsOf("e0").inFlight, 1);
  }
}

TEST(Lending, FullEndpointIsAskedLessAndLess)
{
  DispatchFixture fixture;
  fixture.list({ DispatchFixture::endpoint("e0", "b", 1),
                 DispatchFixture::endpoint("e1", "a", 1) });
  fixture.dispatcher.setDaemons(
    { entryVm("vm1", "b") }, VmId("vm0"), fixture.now);
  int asked = 0;
  for (int i = 0; i < 640; ++i) {
    fixture.now += milliseconds(25);
    fixture.submitMany(DispatchFixture::task("t" + std::to_string(i)), 2);
    for (const Start& start : fixture.pollStarts()) {
      asked += start.endpoint().value() == "e0" ? 1 : 0;
      AttemptReport report;
      report.endpoint = start.endpoint();
      report.end = AttemptEnd::Answered;
      report.runTime = milliseconds(100);
      report.slotsFree = 0;
      fixture.dispatcher.finished(start.task(), report, fixture.now);
    }
    fixture.dispatcher.cancel(SubmissionKey("t" + std::to_string(i)),
                              fixture.now);
  }
  EXPECT_GE(asked, 4);
  EXPECT_LE(asked, 10);
}

TEST(Lending, WaitingTasksAreNotForgottenWhenNothingIsLent)
{
  DispatchFixture fixture;
  fixture.list({ DispatchFixture::endpoint("e0", "a", 1),
                 DispatchFixture::endpoint("e1", "b", 1) });
  fixture.dispatcher.setDaemons(
    { entryVm("vm1", "b") }, VmId("vm0"), fixture.now);
  TaskSpec::Fields fields = DispatchFixture::task("job");
  fields.allowedZones = { ZoneName("b") };
  fixture.submitMany(fields, 6);
  std::vector<Start> running = fixture.pollStarts();
  for (int i = 0; i < 5; ++i) {
    ASSERT_EQ(running.size(), 1U);
    AttemptReport report;
    report.endpoint = running[0].endpoint();
    report.end = AttemptEnd::Answered;
    report.runTime = milliseconds(100);
    report.slotsFree = 0;
    fixture.dispatcher.finished(running[0].task(), report, fixture.now);
    EXPECT_TRUE(fixture.pollStarts().empty());
    for (int wakes = 0; wakes < 20 && running.size() < 2; ++wakes) {
      const std::optional<TimePoint> wake = fixture.dispatcher.nextWake();
      ASSERT_TRUE(wake && *wake > fixture.now);
      fixture.now = *wake;
      for (const Start& start : fixture.pollStarts()) {
        running.push_back(start);
      }
    }
    running.erase(running.begin());
  }
}

} // namespace
} // namespace cowslippin
