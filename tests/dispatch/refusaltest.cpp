#include "dispatchfixture.h"

namespace cowslippin {
namespace {

DispatchSettings
smallQueue()
{
  DispatchSettings settings;
  settings.maxQueued = 10;
  settings.organisationQueueShare = 0.5;
  return settings;
}

struct RefusalCase
{
  std::string name;
  std::function<void(DispatchFixture&, TaskSpec::Fields&)> prepare;
  std::optional<ProblemKind> expected;
  bool hasRetryAfter = false;
};

void
fill(DispatchFixture& fixture, const std::string& organisation, int count)
{
  TaskSpec::Fields fields = DispatchFixture::task("fill-" + organisation);
  fields.organisation = OrganisationName(organisation);
  fixture.submitMany(fields, count);
}

void
occupyOneSlot(DispatchFixture& fixture)
{
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(DispatchFixture::task("busy"), 1);
  fixture.pollStarts();
}

void
learnRunTimes(DispatchFixture& fixture, Duration shorter, Duration longer)
{
  for (int i = 0; i < 40; ++i) {
    fixture.submitMany(DispatchFixture::task("learn"), 1);
    for (const Start& start : fixture.pollStarts()) {
      fixture.finish(
        start, AttemptEnd::Answered, i % 2 == 0 ? shorter : longer);
    }
  }
}

void
learnRunTime(DispatchFixture& fixture, Duration runTime)
{
  learnRunTimes(fixture, runTime, runTime);
}

std::vector<RefusalCase>
refusalCases()
{
  const auto e = &DispatchFixture::endpoint;
  const auto live = Availability::Live;
  return {
    { "Taken",
      [](auto& f, auto&) { f.list(DispatchFixture::endpoints(1, 1)); },
      std::nullopt },
    { "ListNotKnownYet", [](auto&, auto&) {}, ProblemKind::NoEndpoint, true },
    { "ServiceNotListed",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(1, 1));
        t.service = ServiceName("unknown");
      },
      ProblemKind::CanNeverRun },
    { "NoneInAllowedZones",
      [e, live](auto& f, auto& t) {
        f.list({ e("1", "a", 1, live), e("2", "b", 1, live) });
        t.allowedZones = { ZoneName("c") };
      },
      ProblemKind::CanNeverRun },
    { "AllLeaving",
      [e](auto& f, auto&) {
        f.list({ e("1", "a", 1, Availability::Leaving) });
      },
      ProblemKind::NoEndpoint,
      true },
    { "DeadlineAlreadyPassed",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(1, 1));
        t.deadline = f.now;
      },
      ProblemKind::DeadlineTooShort,
      true },
    { "QueueInFrontTooLongByDeclaredTime",
      [](auto& f, auto& t) {
        occupyOneSlot(f);
        fill(f, "notaries", 4);
        t.deadline = f.now + milliseconds(350);
      },
      ProblemKind::DeadlineTooShort,
      true },
    { "QueueInFrontShortEnough",
      [](auto& f, auto& t) {
        occupyOneSlot(f);
        fill(f, "notaries", 4);
        t.deadline = f.now + milliseconds(450);
      },
      std::nullopt },
    { "QueueOfAnotherOrganisationIsSharedWith",
      [](auto& f, auto& t) {
        occupyOneSlot(f);
        fill(f, "mills", 5);
        t.deadline = f.now + milliseconds(350);
      },
      std::nullopt },
    { "QueueInFrontTooLongByLearnedTime",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(1, 1));
        learnRunTime(f, seconds(1));
        occupyOneSlot(f);
        fill(f, "notaries", 4);
        t.deadline = f.now + seconds(3);
      },
      ProblemKind::DeadlineTooShort,
      true },
    { "LearnedRunTimeTooLong",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(2, 2));
        learnRunTime(f, seconds(1));
        f.submitMany(DispatchFixture::task("busy"), 1);
        f.pollStarts();
        t.deadline = f.now + milliseconds(500);
      },
      ProblemKind::DeadlineTooShort,
      true },
    { "LearnedRunTimeIsTriedAgainWhenNoneRuns",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(2, 2));
        learnRunTime(f, seconds(1));
        t.deadline = f.now + milliseconds(500);
      },
      std::nullopt },
    { "UnsureRunTimeBehindAQueue",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(1, 1));
        learnRunTimes(f, milliseconds(20), milliseconds(980));
        occupyOneSlot(f);
        fill(f, "notaries", 1);
        t.deadline = f.now + milliseconds(1400);
      },
      ProblemKind::DeadlineTooShort,
      true },
    { "UnsureRunTimeWithoutAQueue",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(2, 2));
        learnRunTimes(f, milliseconds(20), milliseconds(980));
        f.submitMany(DispatchFixture::task("busy"), 1);
        f.pollStarts();
        t.deadline = f.now + milliseconds(800);
      },
      std::nullopt },
    { "DrainRateOfAnEarlierBacklogIsForgotten",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(1, 1));
        for (int i = 0; i < 60; ++i) {
          f.submitMany(DispatchFixture::task("t" + std::to_string(i)), 2);
          for (const Start& start : f.pollStarts()) {
            f.now += seconds(2);
            f.finish(start, AttemptEnd::Answered);
          }
          f.dispatcher.cancel(SubmissionKey("t" + std::to_string(i)), f.now);
        }
        f.submitMany(DispatchFixture::task("alone"), 1);
        f.finish(f.pollStarts().at(0), AttemptEnd::Answered);
        occupyOneSlot(f);
        fill(f, "notaries", 1);
        t.deadline = f.now + seconds(1);
      },
      std::nullopt },
    { "MaxInFlightInFront",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(2, 8));
        OrganisationShare::Fields share;
        share.maxInFlight = 1;
        f.dispatcher.setOrganisation(
          OrganisationName("notaries"), OrganisationShare(share), f.now);
        f.submitMany(DispatchFixture::task("busy"), 4);
        f.pollStarts();
        t.deadline = f.now + milliseconds(250);
      },
      ProblemKind::DeadlineTooShort,
      true },
    { "OrganisationOverItsPartOfTheQueue",
      [](auto& f, auto&) {
        occupyOneSlot(f);
        fill(f, "notaries", 5);
      },
      ProblemKind::OverQuota,
      true },
    { "QueueFull",
      [](auto& f, auto&) {
        occupyOneSlot(f);
        fill(f, "mills", 5);
        fill(f, "brokers", 5);
      },
      ProblemKind::Overloaded,
      true },
    { "SameTaskAgain",
      [](auto& f, auto& t) {
        f.list(DispatchFixture::endpoints(1, 1));
        f.submitMany(DispatchFixture::task("same"), 1);
        t.id = TaskId(SubmissionKey("same"), 0);
      },
      ProblemKind::KeyReused },
  };
}

class RefusalTest : public testing::TestWithParam<RefusalCase>
{};

TEST_P(RefusalTest, IsAnsweredAtOnce)
{
  DispatchFixture fixture(smallQueue());
  TaskSpec::Fields task = DispatchFixture::task("new");
  GetParam().prepare(fixture, task);
  const std::size_t queuedBefore = fixture.dispatcher.stats().queued;
  const std::optional<Problem> refusal = fixture.submit(task);
  ASSERT_EQ(refusal.has_value(), GetParam().expected.has_value());
  if (!refusal) {
    return;
  }
  EXPECT_EQ(refusal->kind(), *GetParam().expected);
  EXPECT_EQ(refusal->retryAfter().has_value(), GetParam().hasRetryAfter);
  const bool isNew = refusal->kind() != ProblemKind::KeyReused;
  EXPECT_EQ(refusal->ran(), isNew ? RunState::NotRun : RunState::MayHaveRun);
  EXPECT_EQ(fixture.dispatcher.stats().queued, queuedBefore);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RefusalTest,
                         testing::ValuesIn(refusalCases()),
                         [](const auto& info) { return info.param.name; });

TEST(Refusal, RetryAfterFollowsTheDrainRate)
{
  DispatchSettings settings;
  settings.maxQueued = 100;
  settings.organisationQueueShare = 1.0;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(1, 1));
  fill(fixture, "mills", 100);
  // Drains 20 a second, though 10 a second were declared.
  for (int i = 0; i < 60; ++i) {
    for (const Start& start : fixture.pollStarts()) {
      fixture.now += milliseconds(50);
      fixture.finish(start, AttemptEnd::Answered, milliseconds(50));
    }
  }
  TaskSpec::Fields more = DispatchFixture::task("more");
  more.organisation = OrganisationName("brokers");
  fixture.submitMany(more, 60);
  const std::optional<Problem> refusal =
    fixture.submit(DispatchFixture::task("new"));
  ASSERT_TRUE(refusal && refusal->retryAfter());
  EXPECT_EQ(refusal->kind(), ProblemKind::Overloaded);
  EXPECT_NEAR(refusal->retryAfter()->count(), 5e6, 5e5);
}

} // namespace
} // namespace cowslippin
