#include "dispatchfixture.h"

#include <map>

namespace cowslippin {
namespace {

/// Lets one slot serve `count` tasks and counts them by organisation, which
/// is the part of the key before the dash.
std::map<std::string, int>
serve(DispatchFixture& fixture, int count)
{
  std::map<std::string, int> served;
  for (int i = 0; i < count; ++i) {
    const std::vector<Start> starts = fixture.pollStarts();
    EXPECT_EQ(starts.size(), 1U);
    for (const Start& start : starts) {
      const std::string& key = start.task().key().value();
      ++served[key.substr(0, key.find('-'))];
      fixture.finish(start, AttemptEnd::Answered);
    }
  }
  return served;
}

TaskSpec::Fields
taskOf(const std::string& organisation, const std::string& name)
{
  TaskSpec::Fields fields = DispatchFixture::task(organisation + "-" + name);
  fields.organisation = OrganisationName(organisation);
  return fields;
}

TEST(Queue, JobOf2000TasksDoesNotStarveOthers)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(taskOf("bulk", "job"), 2000);
  serve(fixture, 100);
  fixture.submitMany(taskOf("small", "job"), 10);
  EXPECT_GE(serve(fixture, 21)["small"], 10);
}

TEST(Queue, SharesFollowWeights)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  OrganisationShare::Fields heavy;
  heavy.weight = 3.0;
  fixture.dispatcher.setOrganisation(
    OrganisationName("heavy"), OrganisationShare(heavy), fixture.now);
  fixture.submitMany(taskOf("heavy", "job"), 500);
  fixture.submitMany(taskOf("light", "job"), 500);
  EXPECT_NEAR(serve(fixture, 400)["heavy"], 300, 2);
}

TEST(Queue, SharesCountRunTimeRatherThanTasks)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  TaskSpec::Fields slow = taskOf("slow", "job");
  slow.templateName = TemplateName("report");
  slow.declaredRunTime = milliseconds(300);
  fixture.submitMany(slow, 200);
  fixture.submitMany(taskOf("quick", "job"), 200);
  const std::vector<Start> starts = fixture.pollStarts();
  int quick = 0;
  std::vector<Start> running = starts;
  for (int i = 0; i < 100; ++i) {
    ASSERT_EQ(running.size(), 1U);
    const bool isQuick = running[0].task().key().value() == "quick-job";
    quick += isQuick ? 1 : 0;
    fixture.finish(running[0],
                   AttemptEnd::Answered,
                   isQuick ? milliseconds(100) : milliseconds(300));
    running = fixture.pollStarts();
  }
  EXPECT_NEAR(quick, 75, 2);
}

TEST(Queue, IdleOrganisationSavesUpNoClaim)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(taskOf("late", "first"), 1);
  serve(fixture, 1);
  fixture.submitMany(taskOf("bulk", "job"), 1000);
  serve(fixture, 500);
  fixture.submitMany(taskOf("late", "job"), 400);
  EXPECT_NEAR(serve(fixture, 100)["late"], 50, 2);
}

TEST(Queue, MaxInFlightHoldsOneOrganisationBackOnly)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(4, 8));
  OrganisationShare::Fields limited;
  limited.maxInFlight = 3;
  fixture.dispatcher.setOrganisation(
    OrganisationName("limited"), OrganisationShare(limited), fixture.now);
  fixture.submitMany(taskOf("limited", "job"), 10);
  fixture.submitMany(taskOf("free", "job"), 10);
  const std::vector<Start> starts = fixture.pollStarts();
  EXPECT_EQ(starts.size(), 13U);
  for (const Start& start : starts) {
    if (start.task().key().value() == "limited-job") {
      fixture.finish(start, AttemptEnd::Answered);
    }
  }
  EXPECT_EQ(fixture.pollStarts().size(), 3U);
}

TEST(Queue, UrgencyThenArrivalThenDeadline)
{
  struct Row
  {
    std::string key;
    int urgency;
    Duration arrival;
    Duration deadline;
  };
  const std::vector<Row> rows = {
    { "arrived-second", 0, milliseconds(1), seconds(100) },
    { "due-later", 0, milliseconds(2), seconds(100) },
    { "due-earlier", 0, milliseconds(2), seconds(60) },
    { "urgent", 5, milliseconds(3), seconds(100) },
    { "most-urgent", 9, milliseconds(4), seconds(100) },
  };
  const std::vector<std::string> expected = {
    "most-urgent", "urgent", "arrived-second", "due-earlier", "due-later"
  };
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(DispatchFixture::task("busy"), 1);
  Start running = fixture.pollStarts().at(0);
  const TimePoint begin = fixture.now;
  for (const Row& row : rows) {
    TaskSpec::Fields fields = DispatchFixture::task(row.key);
    fields.urgency = row.urgency;
    fixture.now = begin + row.arrival;
    fields.deadline = begin + row.deadline;
    ASSERT_EQ(fixture.submit(fields), std::nullopt);
  }
  for (const std::string& key : expected) {
    fixture.finish(running, AttemptEnd::Answered);
    running = fixture.pollStarts().at(0);
    EXPECT_EQ(running.task().key().value(), key);
  }
}

TEST(Queue, DeadlinePassingWhileQueuedGivesUpNotRun)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 1));
  fixture.submitMany(DispatchFixture::task("busy"), 1);
  fixture.pollStarts();
  TaskSpec::Fields fields = DispatchFixture::task("waits");
  fields.deadline = fixture.now + seconds(2);
  ASSERT_EQ(fixture.submit(fields), std::nullopt);
  EXPECT_EQ(fixture.dispatcher.nextWake(), fields.deadline);
  fixture.now += seconds(2);
  EXPECT_TRUE(fixture.pollStarts().empty());
  ASSERT_EQ(fixture.givenUp.size(), 1U);
  EXPECT_EQ(fixture.givenUp[0].task(), fields.id);
  EXPECT_EQ(fixture.givenUp[0].problem().kind(), ProblemKind::DeadlineExceeded);
  EXPECT_EQ(fixture.givenUp[0].problem().ran(), RunState::NotRun);
  EXPECT_EQ(fixture.dispatcher.nextWake(), std::nullopt);
}

TEST(Queue, CancelGivesUpTheWaitingAndLeavesTheRunning)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(1, 2));
  TaskSpec::Fields fields = DispatchFixture::task("job");
  fields.repeatable = true;
  fixture.submitMany(fields, 5);
  fixture.submitMany(DispatchFixture::task("other"), 1);
  const std::vector<Start> running = fixture.pollStarts();
  ASSERT_EQ(running.size(), 2U);
  const auto given =
    fixture.dispatcher.cancel(SubmissionKey("job"), fixture.now);
  EXPECT_EQ(given.size(), 3U);
  for (const GiveUp& each : given) {
    EXPECT_EQ(each.problem().kind(), ProblemKind::Cancelled);
    EXPECT_EQ(each.problem().ran(), RunState::NotRun);
  }
  EXPECT_EQ(fixture.finish(running[0], AttemptEnd::Failed).kind(),
            FinishKind::TaskEnds);
  const FinishResult unstarted =
    fixture.finish(running[1], AttemptEnd::NotStarted);
  ASSERT_TRUE(unstarted.problem());
  EXPECT_EQ(unstarted.problem()->kind(), ProblemKind::Cancelled);
  EXPECT_EQ(unstarted.problem()->ran(), RunState::NotRun);
  EXPECT_EQ(fixture.pollStarts().size(), 1U);
  EXPECT_TRUE(
    fixture.dispatcher.cancel(SubmissionKey("job"), fixture.now).empty());
}

TEST(Queue, JobIsTakenWholeOrNotAtAll)
{
  DispatchSettings settings;
  settings.maxQueued = 10;
  settings.organisationQueueShare = 1.0;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(1, 1));
  std::vector<TaskSpec> tasks;
  for (TaskIndex i = 0; i < 11; ++i) {
    tasks.emplace_back(DispatchFixture::task("job", i));
  }
  EXPECT_TRUE(fixture.dispatcher.submitAll(tasks, fixture.now));
  EXPECT_EQ(fixture.dispatcher.stats().queued, 0U);
  tasks.pop_back();
  EXPECT_FALSE(fixture.dispatcher.submitAll(tasks, fixture.now));
  EXPECT_EQ(fixture.dispatcher.stats().queued, 10U);
}

} // namespace
} // namespace cowslippin
