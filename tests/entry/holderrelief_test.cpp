#include "libentry/holderrelief.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HolderReliefTest : public ::testing::Test
{
protected:
  void tickFor(Duration duration, Duration lag)
  {
    for (const TimePoint end = now + duration; now < end;) {
      now += milliseconds(20);
      relief.tick(lag, now);
    }
  }

  int refusedOf(int count, const JobRequest& request)
  {
    int refused = 0;
    for (int i = 0; i < count; ++i)
      refused += relief.refuses(request) ? 1 : 0;
    return refused;
  }

  TimePoint now{ seconds(100) };
  HolderRelief relief{ HolderRelief::Settings() };
};

/// Guards against refusals by a holder that has enough processor time.
TEST_F(HolderReliefTest, TakesAllUpToTheLimit)
{
  tickFor(seconds(5), HolderRelief::Settings().share.maxLag);
  EXPECT_EQ(refusedOf(100, JobRequest()), 0);
}

/// Guards against a group whose holders refuse all jobs.
TEST_F(HolderReliefTest, AQuarterOfTheJobsIsAlwaysTaken)
{
  tickFor(seconds(10), milliseconds(500));
  EXPECT_EQ(refusedOf(100, JobRequest()), 75);
}

/// Guards against a queue all of whose jobs are refused because they arrive at
/// the same place in a sequence of four.
TEST_F(HolderReliefTest, AQuarterOfTheJobsOfEachQueueIsTaken)
{
  tickFor(seconds(10), milliseconds(500));
  std::map<std::string, int> taken;
  for (int job = 0; job < 100; ++job) {
    JobRequest request;
    request.policy.queue = job % 4 == 0 ? "rare" : "frequent";
    taken[request.policy.queue] += relief.refuses(request) ? 0 : 1;
  }
  EXPECT_EQ(taken["rare"], 6);
  EXPECT_EQ(taken["frequent"], 18);
}

/// Guards against a refusal of a job of which something may have run, and of a
/// part whose job could then neither be refused nor be done.
TEST_F(HolderReliefTest, NeverRefusesAJobThatMayHaveRunOrAPart)
{
  tickFor(seconds(10), milliseconds(500));
  JobRequest run;
  run.mayHaveRun = true;
  EXPECT_EQ(refusedOf(100, run), 0);
  JobRequest part;
  part.allowsReturn = false;
  EXPECT_EQ(refusedOf(100, part), 0);
  JobRequest orphaned;
  orphaned.quarantine = Quarantine();
  EXPECT_EQ(refusedOf(100, orphaned), 0);
  JobRequest restarted;
  restarted.firstRun = 2;
  EXPECT_EQ(refusedOf(100, restarted), 0);
}

/// Guards against jobs that are refused though the overload has ended.
TEST_F(HolderReliefTest, TakesAllWithinThreeSecondsAfterTheOverload)
{
  tickFor(seconds(10), milliseconds(500));
  tickFor(milliseconds(2500), Duration::zero());
  EXPECT_EQ(refusedOf(100, JobRequest()), 0);
}

} // namespace
} // namespace cowslippin::testing
