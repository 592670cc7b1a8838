#include "libentry/overloadcontrol.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Jobs of the first deployment in docs/design/hard-load.md.
struct Load
{
  std::string queue;
  unsigned urgency = 0;
  unsigned tasks = 1;
  Duration estimate = milliseconds(100);
};
const Load lowLoad{ "low", 0, 8, milliseconds(60) };
const Load highLoad{ "high", 2, 4, milliseconds(900) };

class OverloadControlTest : public ::testing::Test
{
protected:
  static TaskNeeds needs(const Load& load)
  {
    TaskNeeds needs;
    needs.resources = Resources(16000, 10, 0);
    needs.estimate = load.estimate;
    return needs;
  }

  /// A job arrives. Returns whether it is admitted.
  bool arrive(const Load& load)
  {
    if (!control.admit(load.queue, now))
      return false;
    control.jobDecoded(load.queue, load.urgency, needs(load), load.tasks);
    return true;
  }

  /// A number of jobs of each load arrive in each tick. Returns the admitted
  /// shares.
  std::vector<double> run(const std::vector<Load>& loads,
                          Duration lag,
                          Duration duration)
  {
    std::vector<double> admitted(loads.size());
    int ticks = 0;
    for (const TimePoint end = now + duration; now < end; ++ticks) {
      now += milliseconds(20);
      control.tick(lag, now);
      for (std::size_t i = 0; i < loads.size(); ++i)
        admitted[i] += arrive(loads[i]) ? 1 : 0;
    }
    for (double& count : admitted)
      count /= ticks;
    return admitted;
  }

  TimePoint now{ seconds(100) };
  const OverloadControl::Settings settings{};
  OverloadControl control{ settings };
};

/// Guards against refusals on a daemon that has enough processor time.
TEST_F(OverloadControlTest, AdmitsAllBelowTheLimit)
{
  EXPECT_EQ(run({ lowLoad, highLoad }, milliseconds(60), seconds(3)),
            std::vector<double>({ 1, 1 }));
  EXPECT_FALSE(control.isActive());
}

/// Guards against a queue that is never served under overload.
TEST_F(OverloadControlTest, EachQueueKeepsATenthOfItsJobs)
{
  run({ lowLoad, highLoad }, milliseconds(300), seconds(4));
  const auto admitted =
    run({ lowLoad, highLoad }, milliseconds(300), seconds(10));
  EXPECT_NEAR(admitted[0], 0.1, 0.005);
  EXPECT_NEAR(admitted[1], 0.1, 0.005);
}

/// Guards against valuable jobs that are refused while others are admitted.
TEST_F(OverloadControlTest, RefusesTheQueueOfTheLowestValueFirst)
{
  run({ lowLoad, highLoad }, milliseconds(20), seconds(2));
  run({ lowLoad, highLoad }, milliseconds(100), milliseconds(250));
  ASSERT_LT(control.share(), 1);
  EXPECT_EQ(control.share("high"), 1);
  EXPECT_LT(control.share("low"), control.share());
  EXPECT_GE(control.share("low"), settings.share.minShare);
}

/// Guards against a queue that bears the whole overload for a small difference
/// of value.
TEST_F(OverloadControlTest, QueuesOfSimilarValueShareEqually)
{
  const Load similar{ "similar", 0, 8, milliseconds(80) };
  run({ lowLoad, similar }, milliseconds(20), seconds(2));
  run({ lowLoad, similar }, milliseconds(100), milliseconds(250));
  EXPECT_LT(control.share("low"), 1);
  EXPECT_NEAR(control.share("low"), control.share("similar"), 1e-9);
}

/// Guards against refusals that come in runs, so that some callers are refused
/// several times in a row, and against verdicts that differ from run to run.
TEST_F(OverloadControlTest, RefusalsAreSpreadEvenly)
{
  run({ lowLoad }, milliseconds(100), milliseconds(400));
  const double share = control.share("low");
  ASSERT_LT(share, 1);
  int admitted = 0;
  for (int jobs = 1; jobs <= 200; ++jobs) {
    admitted += control.admit("low", now) ? 1 : 0;
    EXPECT_NEAR(admitted, jobs * share, 1.001);
  }
}

/// Guards against jobs that are refused though the overload has ended.
TEST_F(OverloadControlTest, AdmitsAllWithinThreeSecondsAfterTheOverload)
{
  run({ lowLoad, highLoad }, milliseconds(500), seconds(6));
  run({ lowLoad, highLoad }, Duration::zero(), milliseconds(2500));
  EXPECT_FALSE(control.isActive());
  EXPECT_EQ(run({ lowLoad, highLoad }, Duration::zero(), seconds(1)),
            std::vector<double>({ 1, 1 }));
}

TEST_F(OverloadControlTest, ReportsItsBeginAndEndOnce)
{
  using Change = OverloadControl::Change;
  EXPECT_EQ(control.tick(milliseconds(10), now), Change::None);
  EXPECT_EQ(control.tick(milliseconds(200), now), Change::Began);
  EXPECT_EQ(control.tick(milliseconds(200), now + seconds(1)), Change::None);
  int ends = 0;
  for (int i = 1; i <= 200; ++i)
    ends +=
      control.tick(Duration::zero(), now + seconds(1) + i * milliseconds(20)) ==
          Change::Ended
        ? 1
        : 0;
  EXPECT_EQ(ends, 1);
}

/// Guards against refused callers that all return at the same time.
TEST_F(OverloadControlTest, RetryTimesAreSpread)
{
  run({ lowLoad }, milliseconds(500), seconds(6));
  const Duration expected = milliseconds(2250);
  std::vector<Duration> times;
  times.reserve(64);
  for (int i = 0; i < 100; ++i)
    times.push_back(control.retryAfter());
  std::sort(times.begin(), times.end());
  EXPECT_GE(times.front(), expected / 2);
  EXPECT_LE(times.back(), expected * 3 / 2);
  for (int i = 1; i < 100; ++i)
    EXPECT_LT(times[i] - times[i - 1], milliseconds(60));
}

/// Guards against callers that are kept at an overloaded daemon by their open
/// connections, and against connections that are closed for a short overload.
TEST_F(OverloadControlTest, ClosesConnectionsOnlyAfterASecondFarOverTheLimit)
{
  run({ lowLoad }, milliseconds(150), seconds(3));
  EXPECT_FALSE(control.closesConnections(now));
  run({ lowLoad }, milliseconds(170), milliseconds(900));
  EXPECT_FALSE(control.closesConnections(now));
  run({ lowLoad }, milliseconds(170), milliseconds(200));
  EXPECT_TRUE(control.closesConnections(now));
  run({ lowLoad }, milliseconds(150), milliseconds(20));
  EXPECT_FALSE(control.closesConnections(now));
}

/// Guards against work on a job whose answer is worth nothing when it is sent.
TEST_F(OverloadControlTest, AJobThatWaitedTooLongIsRefusedUnderOverload)
{
  QueuePolicy policy;
  policy.stretch = 1.6;
  policy.target = milliseconds(60);
  const Duration worthlessAfter = 3 * milliseconds(156);
  const Duration waited = worthlessAfter - lowLoad.estimate + milliseconds(1);
  EXPECT_FALSE(control.isTooLate(policy, needs(lowLoad), waited))
    << "nothing is refused without an overload";
  run({ lowLoad }, milliseconds(500), seconds(1));
  EXPECT_TRUE(control.isTooLate(policy, needs(lowLoad), waited));
  EXPECT_FALSE(
    control.isTooLate(policy, needs(lowLoad), waited - milliseconds(2)));
  EXPECT_FALSE(control.isTooLate(QueuePolicy(), TaskNeeds(), waited))
    << "a job without an objective is never late";
}

/// Guards against a pause of the process that counts as an overload.
TEST_F(OverloadControlTest, AdmitsAllAfterAReset)
{
  run({ lowLoad }, milliseconds(500), seconds(3));
  control.reset();
  EXPECT_FALSE(control.isActive());
  EXPECT_FALSE(control.closesConnections(now));
  EXPECT_TRUE(arrive(lowLoad));
}

} // namespace
} // namespace cowslippin::testing
