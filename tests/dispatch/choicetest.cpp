#include "dispatchfixture.h"

#include <algorithm>
#include <map>

namespace cowslippin {
namespace {

struct ChoiceCase
{
  std::string name;
  std::vector<Endpoint> endpoints;
  std::vector<ZoneName> allowed;
  Duration crossingPenalty;
  double slotShare;
  int tasks;
  /// How many of the tasks each endpoint has in the end.
  std::map<std::string, int> expected;
};

std::vector<ChoiceCase>
choiceCases()
{
  const auto e = &DispatchFixture::endpoint;
  const auto live = Availability::Live;
  const auto leaving = Availability::Leaving;
  const Duration dear = seconds(60);
  return {
    { "SpreadsEvenly",
      { e("1", "a", 8, live), e("2", "a", 8, live) },
      {},
      dear,
      1.0,
      6,
      { { "1", 3 }, { "2", 3 } } },
    { "OwnZoneFirst",
      { e("1", "a", 2, live), e("2", "b", 8, live) },
      {},
      dear,
      1.0,
      2,
      { { "1", 2 } } },
    { "OtherZoneWhenOwnIsFull",
      { e("1", "a", 2, live), e("2", "b", 8, live) },
      {},
      dear,
      1.0,
      5,
      { { "1", 2 }, { "2", 3 } } },
    { "FreeCrossingSpreadsOverZones",
      { e("1", "a", 8, live), e("2", "b", 8, live) },
      {},
      Duration::zero(),
      1.0,
      8,
      { { "1", 4 }, { "2", 4 } } },
    { "NeverAboveSlots",
      { e("1", "a", 2, live), e("2", "a", 1, live) },
      {},
      dear,
      1.0,
      9,
      { { "1", 2 }, { "2", 1 } } },
    { "ShareOfSlots",
      { e("1", "a", 8, live), e("2", "a", 1, live) },
      {},
      dear,
      0.5,
      9,
      { { "1", 4 }, { "2", 1 } } },
    { "LeavingGetsNothing",
      { e("1", "a", 8, leaving), e("2", "a", 8, live) },
      {},
      dear,
      1.0,
      3,
      { { "2", 3 } } },
    { "AllowedZonesOnly",
      { e("1", "a", 8, live), e("2", "b", 8, live) },
      { ZoneName("b") },
      dear,
      1.0,
      3,
      { { "2", 3 } } },
  };
}

class ChoiceTest : public testing::TestWithParam<ChoiceCase>
{};

TEST_P(ChoiceTest, EndpointsGetWhatIsExpected)
{
  for (const auto choice :
       { EndpointChoice::LeastInFlight, EndpointChoice::TwoChoices }) {
    DispatchSettings settings;
    settings.choice = choice;
    settings.crossingPenalty = GetParam().crossingPenalty;
    settings.slotShare = GetParam().slotShare;
    DispatchFixture fixture(settings);
    fixture.list(GetParam().endpoints);
    TaskSpec::Fields task = DispatchFixture::task("job");
    task.allowedZones = GetParam().allowed;
    fixture.submitMany(task, GetParam().tasks);
    std::map<std::string, int> used;
    for (const Start& start : fixture.pollStarts()) {
      ++used[start.endpoint().value()];
    }
    // Two random choices need not spread evenly nor weigh a free crossing.
    if (choice == EndpointChoice::LeastInFlight ||
        GetParam().name.find("Spread") == std::string::npos) {
      EXPECT_EQ(used, GetParam().expected);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ChoiceTest,
                         testing::ValuesIn(choiceCases()),
                         [](const auto& info) { return info.param.name; });

TEST(Choice, EndpointThatStartsToLeaveGetsNothingAtOnce)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(DispatchFixture::task("job"), 2);
  const std::vector<Start> running = fixture.pollStarts();
  ASSERT_EQ(running.size(), 1U);
  fixture.list(
    { DispatchFixture::endpoint("e0", "a", 8, Availability::Leaving) });
  EXPECT_EQ(fixture.finish(running[0], AttemptEnd::Answered).kind(),
            FinishKind::TaskEnds);
  EXPECT_TRUE(fixture.pollStarts().empty());
}

TEST(Choice, EndpointThatIsUnlistedMayFinishAndIsForgotten)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 2));
  fixture.submitMany(DispatchFixture::task("job"), 1);
  const std::vector<Start> running = fixture.pollStarts();
  fixture.list({ DispatchFixture::endpoint("other", "a", 1) });
  EXPECT_EQ(fixture.finish(running[0], AttemptEnd::Answered).kind(),
            FinishKind::TaskEnds);
  fixture.list({ DispatchFixture::endpoint("other", "a", 1) });
  EXPECT_EQ(fixture.dispatcher.stats().endpoints.size(), 1U);
}

TEST(Choice, WaitingTasksAreGivenUpWhenAllEndpointsStayAway)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(DispatchFixture::task("job"), 2);
  EXPECT_EQ(fixture.pollStarts().size(), 1U);
  fixture.list({});
  EXPECT_TRUE(fixture.pollStarts().empty());
  EXPECT_TRUE(fixture.givenUp.empty());
  ASSERT_EQ(fixture.dispatcher.nextWake(), fixture.now + seconds(5));
  fixture.now += seconds(5);
  fixture.pollStarts();
  ASSERT_EQ(fixture.givenUp.size(), 1U);
  EXPECT_EQ(fixture.givenUp[0].problem().kind(), ProblemKind::NoEndpoint);
  EXPECT_EQ(fixture.givenUp[0].problem().ran(), RunState::NotRun);
}

TEST(Choice, OtherZoneWhenTheOwnWasFullAtTheLastReply)
{
  for (const int slotsFree : { 0, 1 }) {
    DispatchSettings settings;
    settings.crossingPenalty = milliseconds(250);
    settings.fullPenalty = milliseconds(300);
    DispatchFixture fixture(settings);
    fixture.list({ DispatchFixture::endpoint("e0", "a", 8),
                   DispatchFixture::endpoint("e1", "b", 8) });
    fixture.submitMany(DispatchFixture::task("first"), 1);
    const Start first = fixture.pollStarts().at(0);
    AttemptReport report;
    report.endpoint = first.endpoint();
    report.end = AttemptEnd::Answered;
    report.runTime = milliseconds(100);
    report.slotsFree = slotsFree;
    fixture.dispatcher.finished(first.task(), report, fixture.now);
    fixture.submitMany(DispatchFixture::task("second"), 1);
    EXPECT_EQ(fixture.pollStarts().at(0).endpoint().value(),
              slotsFree == 0 ? "e1" : "e0");
  }
}

TEST(Choice, OneOfTwoPrefersTheEndpointThatSaysItHasRoom)
{
  DispatchSettings settings;
  settings.choice = EndpointChoice::TwoChoices;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(2, 8));
  int starts = 0;
  int atBusy = 0;
  for (int i = 0; i < 200; ++i) {
    fixture.submitMany(DispatchFixture::task("t" + std::to_string(i)), 1);
    for (const Start& start : fixture.pollStarts()) {
      AttemptReport report;
      report.endpoint = start.endpoint();
      report.end = AttemptEnd::Answered;
      report.runTime = milliseconds(100);
      report.slotsFree = start.endpoint().value() == "e0" ? 1 : 8;
      fixture.dispatcher.finished(start.task(), report, fixture.now);
      ++starts;
      atBusy += start.endpoint().value() == "e0" ? 1 : 0;
    }
  }
  EXPECT_EQ(starts, 200);
  EXPECT_LT(atBusy, 80);
}

} // namespace
} // namespace cowslippin
