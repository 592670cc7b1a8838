#include "libworkers/workers.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkerId worker("w1");
const RunKey run("a.0.0.0", 1);

class PresumedOverRunsTest : public ::testing::Test
{
protected:
  void presumeOver(const RunKey& key, PresumedOverCause cause)
  {
    runs.add(worker,
             { key,
               cause,
               now,
               false,
               10,
               seconds(1),
               std::nullopt,
               std::nullopt,
               std::nullopt });
  }

  TimePoint now{ seconds(1000) };
  PresumedOverRuns runs;
};

TEST_F(PresumedOverRunsTest, ReturnsARunThatReappearsWithItsCause)
{
  presumeOver(run, UnlistedEnd::StartExpired);
  now += milliseconds(40);
  const auto note = runs.runListed(worker, run, now);
  ASSERT_TRUE(note);
  EXPECT_EQ(note->key, run);
  EXPECT_EQ(note->cause, PresumedOverCause(UnlistedEnd::StartExpired));
  EXPECT_EQ(note->sincePresumed, milliseconds(40));
  EXPECT_EQ(note->previousToken, 10u);
}

TEST_F(PresumedOverRunsTest, ReturnsARunOnce)
{
  presumeOver(run, OrderFailure::Late);
  EXPECT_TRUE(runs.runListed(worker, run, now));
  EXPECT_FALSE(runs.runListed(worker, run, now));
}

TEST_F(PresumedOverRunsTest, DistinguishesTheRunsOfATask)
{
  presumeOver(run, UnlistedEnd::Missing);
  EXPECT_FALSE(runs.runListed(worker, RunKey(run.task(), run.run() + 1), now));
  EXPECT_FALSE(runs.runListed(worker, RunKey("b.0.0.0", run.run()), now));
  EXPECT_TRUE(runs.runListed(worker, run, now));
}

TEST_F(PresumedOverRunsTest, DistinguishesTheRunsOfOtherWorkers)
{
  presumeOver(run, UnlistedEnd::Missing);
  EXPECT_FALSE(runs.runListed(WorkerId("w2"), run, now));
  EXPECT_TRUE(runs.runListed(worker, run, now));
}

/// Guards against a warning about the earlier run that has the number for which
/// a start was refused.
TEST_F(PresumedOverRunsTest, CountsARunOfAStaleNumberWithoutExpectingIt)
{
  presumeOver(run, OrderFailure::StaleRun);
  EXPECT_FALSE(runs.runListed(worker, run, now));
  EXPECT_EQ(runs.presumedOver().at(OrderFailure::StaleRun), 1u);
}

TEST_F(PresumedOverRunsTest, ForgetsARunThatIsStartedAgain)
{
  presumeOver(run, UnlistedEnd::MissingAfterStop);
  runs.runStarted(worker, run);
  EXPECT_FALSE(runs.runListed(worker, run, now));
}

TEST_F(PresumedOverRunsTest, ForgetsARunAfterSomeTime)
{
  presumeOver(run, UnlistedEnd::Missing);
  now += PresumedOverRuns::memory;
  EXPECT_FALSE(runs.runListed(worker, run, now));
}

TEST_F(PresumedOverRunsTest, RemembersABoundedNumberOfRuns)
{
  for (std::uint64_t i = 0; i <= PresumedOverRuns::maxRuns; ++i)
    presumeOver(RunKey("a.0.0.0", i), OrderFailure::NoRoom);
  EXPECT_FALSE(runs.runListed(worker, RunKey("a.0.0.0", 0), now));
  EXPECT_TRUE(runs.runListed(worker, RunKey("a.0.0.0", 1), now));
  EXPECT_TRUE(
    runs.runListed(worker, RunKey("a.0.0.0", PresumedOverRuns::maxRuns), now));
}

TEST_F(PresumedOverRunsTest, RemembersTheLastCauseOfARun)
{
  presumeOver(run, OrderFailure::Late);
  presumeOver(run, UnlistedEnd::LeaseExpired);
  EXPECT_EQ(runs.runListed(worker, run, now)->cause,
            PresumedOverCause(UnlistedEnd::LeaseExpired));
  EXPECT_FALSE(runs.runListed(worker, run, now));
}

TEST_F(PresumedOverRunsTest, CountsByCause)
{
  presumeOver(run, OrderFailure::Late);
  presumeOver(RunKey("b.0.0.0", 1), OrderFailure::Late);
  presumeOver(RunKey("c.0.0.0", 1), UnlistedEnd::Missing);
  runs.runListed(worker, run, now);
  const PresumedOverRuns::Counts presumed{ { OrderFailure::Late, 2 },
                                           { UnlistedEnd::Missing, 1 } };
  const PresumedOverRuns::Counts reappeared{ { OrderFailure::Late, 1 } };
  EXPECT_EQ(runs.presumedOver(), presumed);
  EXPECT_EQ(runs.reappeared(), reappeared);
}

} // namespace
} // namespace cowslippin::testing
