#include "startbound.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// A task of a job that was submitted beside two zones of two workers.
class StartBoundTest : public ::testing::Test
{
protected:
  /// Each of these allows a try in 90 ms.
  static constexpr std::uint64_t aDelay = 4 + StartBound::resendsADelay;
  /// A task may move away from each zone once.
  static constexpr std::uint64_t moves =
    2 * std::uint64_t(StartBound::runNumberGap);

  void SetUp() override { bound.submitted("job1", start); }

  bool isAllowed(std::uint64_t run, Duration time)
  {
    return !bound.arrived(RunKey("job1.0.0.0", run), start + time);
  }

  const TimePoint start = steadyNow();
  StartBound bound{ 2, 4 };
};

TEST_F(StartBoundTest, AllowsATryOnEachWorkerAtOnce)
{
  EXPECT_TRUE(isAllowed(aDelay + moves, milliseconds(10)));
  EXPECT_FALSE(isAllowed(aDelay + moves + 1, milliseconds(10)));
}

TEST_F(StartBoundTest, AllowsAnotherTryAfterTheDelay)
{
  EXPECT_TRUE(isAllowed(2 * aDelay + moves, milliseconds(90)));
  EXPECT_FALSE(isAllowed(2 * aDelay + moves + 1, milliseconds(179)));
}

TEST_F(StartBoundTest, AllowsAGapForEachZoneAfterALossOfContact)
{
  const std::uint64_t allowed = 10 * aDelay + 2 * moves;
  EXPECT_TRUE(isAllowed(allowed, milliseconds(850)));
  EXPECT_FALSE(isAllowed(allowed + 1, milliseconds(899)));
}

TEST_F(StartBoundTest, CountsStartsThatArriveUnderOneNumber)
{
  for (std::uint64_t i = 0; i < aDelay + moves; ++i)
    EXPECT_TRUE(isAllowed(1, milliseconds(10)));
  EXPECT_FALSE(isAllowed(1, milliseconds(10)));
}

TEST_F(StartBoundTest, TellsATaskOnce)
{
  EXPECT_FALSE(isAllowed(1000, milliseconds(10)));
  EXPECT_TRUE(isAllowed(1001, milliseconds(10)));
}

/// Guards against a violation after a takeover: the next holder tries all
/// workers, and the task has moved.
TEST_F(StartBoundTest, AllowsATryMoreForEachClaimAndAGapForEachTakeover)
{
  bound.claimed(0);
  bound.claimed(2);
  const std::uint64_t allowed = aDelay + moves + 2 + StartBound::runNumberGap;
  EXPECT_TRUE(isAllowed(allowed, milliseconds(10)));
  EXPECT_FALSE(isAllowed(allowed + 1, milliseconds(10)));
}

TEST_F(StartBoundTest, DoesNotCountClaimsBeforeTheSubmission)
{
  bound.claimed(0);
  bound.submitted("job2", start);
  EXPECT_TRUE(bound.arrived(RunKey("job2.0.0.0", aDelay + moves + 1), start));
}

TEST_F(StartBoundTest, AllowsAGapAfterARefusalAsStaleAndATryAfterARun)
{
  bound.refusedAsStale("job1.0.0.0");
  bound.began("job1.0.0.0");
  const std::uint64_t allowed = aDelay + moves + 2 + StartBound::runNumberGap;
  EXPECT_TRUE(isAllowed(allowed, milliseconds(10)));
  EXPECT_FALSE(isAllowed(allowed + 1, milliseconds(10)));
}

TEST_F(StartBoundTest, AllowsGapsThatDoubleWithEachRefusalAsStale)
{
  for (int i = 0; i < 3; ++i)
    bound.refusedAsStale("job1.0.0.0");
  const std::uint64_t gaps = 7 * std::uint64_t(StartBound::runNumberGap);
  EXPECT_TRUE(isAllowed(aDelay + moves + 3 + gaps, milliseconds(10)));
  EXPECT_FALSE(isAllowed(aDelay + moves + 3 + gaps + 1, milliseconds(10)));
}

} // namespace
} // namespace cowslippin::testing
