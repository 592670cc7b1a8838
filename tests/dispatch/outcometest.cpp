#include "dispatchfixture.h"

namespace cowslippin {
namespace {

struct OutcomeCase
{
  std::string name;
  bool repeatable;
  int maxAttempts;
  double retryBurst;
  /// How the attempts end, one after another.
  std::vector<AttemptEnd> ends;
  /// How the task ends after the last of them; unset when it is tried again.
  std::optional<ProblemKind> problem;
  RunState ran;
  FinishKind kind;
};

std::vector<OutcomeCase>
outcomeCases()
{
  const auto answered = AttemptEnd::Answered;
  const auto failed = AttemptEnd::Failed;
  const auto notStarted = AttemptEnd::NotStarted;
  const auto unknown = AttemptEnd::Unknown;
  const auto ends = FinishKind::TaskEnds;
  const auto again = FinishKind::TriedAgain;
  const RunState none = RunState::NotRun;
  return {
    { "Answered", false, 3, 9, { answered }, {}, none, ends },
    { "NotStartedGoesElsewhere", false, 3, 9, { notStarted }, {}, none, again },
    { "NotStartedNeedsNoBudget", true, 3, 0, { notStarted }, {}, none, again },
    { "NotStartedTooOften",
      false,
      2,
      9,
      { notStarted, notStarted },
      ProblemKind::NoEndpoint,
      RunState::NotRun,
      ends },
    { "FailedOnce",
      false,
      3,
      9,
      { failed },
      ProblemKind::EndpointFailed,
      RunState::Failed,
      ends },
    { "FailedAfterNotStarted",
      false,
      3,
      9,
      { notStarted, failed },
      ProblemKind::EndpointFailed,
      RunState::Failed,
      ends },
    { "UnknownOnce",
      false,
      3,
      9,
      { unknown },
      ProblemKind::OutcomeUnknown,
      RunState::MayHaveRun,
      ends },
    { "RepeatableFailed", true, 3, 9, { failed }, {}, none, again },
    { "RepeatableUnknown", true, 3, 9, { unknown }, {}, none, again },
    { "RepeatableAnsweredAtLast",
      true,
      3,
      9,
      { unknown, failed, answered },
      {},
      none,
      ends },
    { "RepeatableWithoutBudget",
      true,
      3,
      0,
      { failed },
      ProblemKind::EndpointFailed,
      RunState::Failed,
      ends },
    { "RepeatableOutOfAttempts",
      true,
      2,
      9,
      { unknown, failed },
      ProblemKind::OutcomeUnknown,
      RunState::MayHaveRun,
      ends },
    { "NotStartedAfterUnknownMayHaveRun",
      true,
      2,
      9,
      { unknown, notStarted },
      ProblemKind::OutcomeUnknown,
      RunState::MayHaveRun,
      ends },
    { "NotStartedAfterFailedHasRun",
      true,
      2,
      9,
      { failed, notStarted },
      ProblemKind::EndpointFailed,
      RunState::Failed,
      ends },
  };
}

class OutcomeTest : public testing::TestWithParam<OutcomeCase>
{};

TEST_P(OutcomeTest, FollowsFromTheAttempts)
{
  const OutcomeCase& row = GetParam();
  DispatchSettings settings;
  settings.retryBurst = row.retryBurst;
  settings.retryRatio = 0.0;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(3, 1));
  TaskSpec::Fields fields = DispatchFixture::task("task");
  fields.repeatable = row.repeatable;
  fields.maxAttempts = row.maxAttempts;
  ASSERT_EQ(fixture.submit(fields), std::nullopt);
  FinishResult result(FinishKind::NotInFlight);
  std::vector<EndpointId> used;
  for (const AttemptEnd end : row.ends) {
    const std::vector<Start> starts = fixture.pollStarts();
    ASSERT_EQ(starts.size(), 1U);
    for (const EndpointId& earlier : used) {
      EXPECT_NE(starts[0].endpoint(), earlier);
    }
    used.push_back(starts[0].endpoint());
    result = fixture.finish(starts[0], end);
  }
  EXPECT_EQ(result.kind(), row.kind);
  ASSERT_EQ(result.problem().has_value(), row.problem.has_value());
  if (row.problem) {
    EXPECT_EQ(result.problem()->kind(), *row.problem);
    EXPECT_EQ(result.problem()->ran(), row.ran);
  }
  EXPECT_EQ(fixture.pollStarts().size(),
            row.kind == FinishKind::TriedAgain ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OutcomeTest,
                         testing::ValuesIn(outcomeCases()),
                         [](const auto& info) { return info.param.name; });

TEST(Outcome, NothingIsTriedAgainAfterTheDeadline)
{
  for (const AttemptEnd end : { AttemptEnd::Failed, AttemptEnd::NotStarted }) {
    DispatchFixture fixture;
    fixture.list(DispatchFixture::endpoints(3, 1));
    TaskSpec::Fields fields = DispatchFixture::task("task");
    fields.repeatable = true;
    fields.deadline = fixture.now + seconds(1);
    ASSERT_EQ(fixture.submit(fields), std::nullopt);
    const Start start = fixture.pollStarts().at(0);
    fixture.now += seconds(1);
    EXPECT_EQ(fixture.finish(start, end).kind(), FinishKind::TaskEnds);
  }
}

TEST(Outcome, DeadlinePassingBeforeARetryTellsWhatRan)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  TaskSpec::Fields fields = DispatchFixture::task("task");
  fields.repeatable = true;
  fields.deadline = fixture.now + seconds(1);
  ASSERT_EQ(fixture.submit(fields), std::nullopt);
  const Start start = fixture.pollStarts().at(0);
  EXPECT_EQ(fixture.finish(start, AttemptEnd::Unknown).kind(),
            FinishKind::TriedAgain);
  fixture.now += seconds(1);
  fixture.pollStarts();
  ASSERT_EQ(fixture.givenUp.size(), 1U);
  EXPECT_EQ(fixture.givenUp[0].problem().ran(), RunState::MayHaveRun);
}

TEST(Outcome, ReportsOfNoSuchAttemptChangeNothing)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(2, 1));
  ASSERT_EQ(fixture.submit(DispatchFixture::task("task")), std::nullopt);
  const Start start = fixture.pollStarts().at(0);
  const Start wrongAttempt(start.task(), start.endpoint(), 2);
  const Start wrongEndpoint(start.task(), EndpointId("other"), 1);
  const Start wrongTask(TaskId(SubmissionKey("other"), 0), start.endpoint(), 1);
  for (const Start& wrong : { wrongAttempt, wrongEndpoint, wrongTask }) {
    EXPECT_EQ(fixture.finish(wrong, AttemptEnd::Answered).kind(),
              FinishKind::NotInFlight);
  }
  EXPECT_EQ(fixture.finish(start, AttemptEnd::Answered).kind(),
            FinishKind::TaskEnds);
  EXPECT_EQ(fixture.finish(start, AttemptEnd::Answered).kind(),
            FinishKind::NotInFlight);
}

TEST(Outcome, RetriesStayAPartOfTheStarts)
{
  DispatchSettings settings;
  settings.ejection.maxShare = 0.0;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(10, 100));
  TaskSpec::Fields fields = DispatchFixture::task("job");
  fields.repeatable = true;
  fixture.submitMany(fields, 500);
  for (auto starts = fixture.pollStarts(); !starts.empty();
       starts = fixture.pollStarts()) {
    for (const Start& start : starts) {
      fixture.finish(start, AttemptEnd::Failed);
    }
  }
  EXPECT_EQ(fixture.dispatcher.stats().ended, 500U);
  EXPECT_LE(fixture.dispatcher.stats().retries, 500U / 10 + 10);
}

} // namespace
} // namespace cowslippin
