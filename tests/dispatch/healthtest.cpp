#include "dispatchfixture.h"

#include "libdispatch/endpointhealth.h"

#include <algorithm>

namespace cowslippin {
namespace {

AttemptEnd
failsAtFirst(const EndpointId& endpoint)
{
  return endpoint.value() == "e0" ? AttemptEnd::Failed : AttemptEnd::Answered;
}

AttemptEnd
answers(const EndpointId& /*endpoint*/)
{
  return AttemptEnd::Answered;
}

AttemptEnd
fails(const EndpointId& /*endpoint*/)
{
  return AttemptEnd::Failed;
}

int
ejectedCount(const DispatchFixture& fixture)
{
  const DispatchStats stats = fixture.dispatcher.stats();
  return static_cast<int>(std::count_if(
    stats.endpoints.begin(), stats.endpoints.end(), [](const auto& endpoint) {
      return endpoint.ejected;
    }));
}

/// Ejects `e0` of the listed endpoints; the probe is due a second later.
void
ejectFirst(DispatchFixture& fixture)
{
  for (int i = 0; i < 500 && !fixture.statsOf("e0").ejected; ++i) {
    fixture.runOneByOne(1, failsAtFirst, Duration::zero());
  }
  ASSERT_TRUE(fixture.statsOf("e0").ejected);
}

TEST(Health, EndpointThatFailsAtOnceAttractsFewTasks)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(10, 8));
  const std::vector<std::string> used =
    fixture.runOneByOne(1000, failsAtFirst, Duration::zero());
  EXPECT_TRUE(fixture.statsOf("e0").ejected);
  EXPECT_LE(std::count(used.begin(), used.end(), "e0"), 10);
}

TEST(Health, FailureCountsAsSlownessWhereNothingMayBeEjected)
{
  DispatchSettings settings;
  settings.ejection.maxShare = 0.0;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(10, 8));
  const std::vector<std::string> used =
    fixture.runOneByOne(1000, failsAtFirst, Duration::zero());
  EXPECT_FALSE(fixture.statsOf("e0").ejected);
  EXPECT_LE(std::count(used.begin(), used.end(), "e0"), 30);
}

TEST(Health, EndpointThatRefusesConnectionsIsEjected)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(4, 8));
  fixture.runOneByOne(
    400,
    [](const EndpointId& endpoint) {
      return endpoint.value() == "e0" ? AttemptEnd::NotStarted
                                      : AttemptEnd::Answered;
    },
    Duration::zero());
  EXPECT_TRUE(fixture.statsOf("e0").ejected);
}

TEST(Health, SilentConnectionsAreForgivenUntilTheEndpointIsSilentAgain)
{
  const auto at = [](int second) { return TimePoint(seconds(second)); };
  EndpointHealth health;
  EXPECT_TRUE(health.forgivesSilence(at(0), at(10)));
  EXPECT_TRUE(health.forgivesSilence(at(9), at(19)));
  EXPECT_FALSE(health.forgivesSilence(at(11), at(21)));
  health.answeredSilence(at(9));
  EXPECT_FALSE(health.forgivesSilence(at(12), at(22)));
  health.answeredSilence(at(13));
  EXPECT_TRUE(health.forgivesSilence(at(14), at(24)));
}

TEST(Health, EndpointThatNeverAnswersIsEjectedThoughItCanBeReached)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(4, 8));
  for (int i = 0; i < 400; ++i) {
    ASSERT_EQ(fixture.submit(DispatchFixture::task("run" + std::to_string(i))),
              std::nullopt);
    for (const Start& start : fixture.pollStarts()) {
      const bool isSilent = start.endpoint().value() == "e0";
      AttemptReport report;
      report.endpoint = start.endpoint();
      report.attempt = start.attempt();
      report.end = isSilent ? AttemptEnd::Unknown : AttemptEnd::Answered;
      report.isConnectionSilent = isSilent;
      fixture.dispatcher.finished(start.task(), report, fixture.now);
    }
    fixture.now += milliseconds(1);
  }
  EXPECT_TRUE(fixture.statsOf("e0").ejected);
}

TEST(Health, EndpointThatFailsMostlyIsEjectedByItsRatio)
{
  DispatchSettings settings;
  settings.ejection.consecutiveFailures = 1000;
  DispatchFixture fixture(settings);
  fixture.list(DispatchFixture::endpoints(2, 8));
  int turn = 0;
  fixture.runOneByOne(
    3000,
    [&turn](const EndpointId& endpoint) {
      const bool fail = endpoint.value() == "e0" && ++turn % 4 != 0;
      return fail ? AttemptEnd::Failed : AttemptEnd::Answered;
    },
    Duration::zero());
  EXPECT_TRUE(fixture.statsOf("e0").ejected);
  EXPECT_FALSE(fixture.statsOf("e1").ejected);
}

TEST(Health, WorkThatFailsEverywhereEjectsNobody)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(6, 8));
  fixture.runOneByOne(100, answers);
  int turn = 0;
  fixture.runOneByOne(600, [&turn](const EndpointId&) {
    return ++turn % 2 == 0 ? AttemptEnd::Answered : AttemptEnd::Failed;
  });
  EXPECT_EQ(ejectedCount(fixture), 0);
}

TEST(Health, NeverMoreThanTheShareIsEjected)
{
  for (const double share : { 0.0, 0.25, 0.5 }) {
    DispatchSettings settings;
    settings.ejection.maxShare = share;
    DispatchFixture fixture(settings);
    fixture.list(DispatchFixture::endpoints(8, 8));
    fixture.runOneByOne(300, fails, Duration::zero());
    EXPECT_LE(ejectedCount(fixture), static_cast<int>(8 * share));
  }
}

TEST(Health, ProbeReadmitsOrWaitsLonger)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(4, 8));
  ejectFirst(fixture);
  const auto probesIn = [&fixture](Duration time, auto behaviour) {
    const int count = static_cast<int>(time / milliseconds(10));
    const auto used = fixture.runOneByOne(count, behaviour, milliseconds(10));
    return std::count(used.begin(), used.end(), "e0");
  };
  EXPECT_EQ(probesIn(milliseconds(990), failsAtFirst), 0);
  EXPECT_EQ(probesIn(milliseconds(100), failsAtFirst), 1);
  EXPECT_EQ(probesIn(milliseconds(1800), failsAtFirst), 0);
  EXPECT_EQ(probesIn(milliseconds(300), failsAtFirst), 1);
  EXPECT_EQ(probesIn(milliseconds(3700), failsAtFirst), 0);
  EXPECT_TRUE(fixture.statsOf("e0").ejected);
  probesIn(milliseconds(500), answers);
  EXPECT_FALSE(fixture.statsOf("e0").ejected);
}

TEST(Health, OneProbeAtATime)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(2, 4));
  ejectFirst(fixture);
  fixture.now += seconds(1);
  TaskSpec::Fields fields = DispatchFixture::task("job");
  fields.repeatable = true;
  fixture.submitMany(fields, 8);
  const std::vector<Start> starts = fixture.pollStarts();
  EXPECT_EQ(starts.size(), 5U);
  EXPECT_EQ(std::count_if(starts.begin(),
                          starts.end(),
                          [](const Start& start) {
                            return start.endpoint().value() == "e0";
                          }),
            1);
}

TEST(Health, WorkThatIsNotRepeatableProbesOnlyWithoutAChoice)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(2, 1));
  ejectFirst(fixture);
  fixture.now += seconds(1);
  fixture.submitMany(DispatchFixture::task("job"), 4);
  const std::vector<Start> first = fixture.pollStarts();
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].endpoint().value(), "e1");
  fixture.now += seconds(30);
  const std::vector<Start> overdue = fixture.pollStarts();
  ASSERT_EQ(overdue.size(), 1U);
  EXPECT_EQ(overdue[0].endpoint().value(), "e0");
  fixture.finish(overdue[0], AttemptEnd::Failed);
  fixture.now += seconds(2);
  fixture.list(
    { DispatchFixture::endpoint("e0", "a", 1),
      DispatchFixture::endpoint("e1", "a", 1, Availability::Leaving) });
  const std::vector<Start> second = fixture.pollStarts();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].endpoint().value(), "e0");
}

TEST(Health, AllEjectedIsRefusedUntilTheProbeIsDue)
{
  DispatchSettings settings;
  settings.ejection.maxShare = 1.0;
  DispatchFixture fixture(settings);
  fixture.list({ DispatchFixture::endpoint("e0", "a", 8),
                 DispatchFixture::endpoint("e1", "b", 8),
                 DispatchFixture::endpoint("e2", "b", 8) });
  ejectFirst(fixture);
  TaskSpec::Fields fields = DispatchFixture::task("task");
  fields.allowedZones = { ZoneName("a") };
  const std::optional<Problem> refusal = fixture.submit(fields);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->kind(), ProblemKind::NoEndpoint);
  EXPECT_EQ(refusal->ran(), RunState::NotRun);
  ASSERT_EQ(refusal->retryAfter(), seconds(1));
  fixture.now += *refusal->retryAfter();
  EXPECT_EQ(fixture.submit(fields), std::nullopt);
  EXPECT_EQ(fixture.pollStarts().size(), 1U);
}

TEST(Health, SlowEndpointGetsFewer)
{
  DispatchFixture fixture;
  fixture.list(DispatchFixture::endpoints(5, 8));
  struct Running
  {
    Start start;
    TimePoint end;
  };
  std::vector<Running> running;
  int total = 0;
  int atSlow = 0;
  int lowestLimit = 8;
  for (int step = 0; step < 4000; ++step) {
    fixture.now += milliseconds(5);
    for (auto it = running.begin(); it != running.end();) {
      if (it->end > fixture.now) {
        ++it;
        continue;
      }
      const bool isSlow = it->start.endpoint().value() == "e0";
      fixture.finish(it->start,
                     AttemptEnd::Answered,
                     isSlow ? milliseconds(1000) : milliseconds(100));
      it = running.erase(it);
      lowestLimit = std::min(lowestLimit, fixture.statsOf("e0").limit);
    }
    fixture.submitMany(DispatchFixture::task("s" + std::to_string(step)), 1);
    for (const Start& start : fixture.pollStarts()) {
      const bool isSlow = start.endpoint().value() == "e0";
      running.push_back(
        { start, fixture.now + milliseconds(isSlow ? 1000 : 100) });
      ++total;
      atSlow += isSlow ? 1 : 0;
    }
  }
  EXPECT_EQ(total, 4000);
  EXPECT_LT(atSlow, total / 50);
  EXPECT_LE(lowestLimit, 2);
}

} // namespace
} // namespace cowslippin
