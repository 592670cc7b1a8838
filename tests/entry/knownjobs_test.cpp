#include "libentry/knownjobs.h"

#include "libentry/heartbeatplan.h"

#include "libjobs/jobs.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const VmId first("first");
const VmId second("second");
const JobId job("a");

class KnownJobsTest : public ::testing::Test
{
protected:
  void tell(const VmId& vm, const std::vector<LongJob>& jobs)
  {
    known.told(vm, jobs, now);
  }

  TimePoint now{ std::chrono::seconds(100) };
  const Duration interval = HeartbeatPlan::Settings().interval;
  KnownJobs known;
};

/// Guards against a job begun here while it is at work for another daemon.
TEST_F(KnownJobsTest, AListedJobIsToBeRecalledFromTheDaemonThatToldOfIt)
{
  tell(first, { { JobId("b"), milliseconds(600) } });
  tell(second, { { job, milliseconds(500) }, { JobId("c"), {} } });
  EXPECT_EQ(known.find(job, now), (KnownJobs::Place{ second, TimePoint() }));
}

/// Guards against every job's being held up by those of others.
TEST_F(KnownJobsTest, AJobThatNobodyToldOfIsUnknown)
{
  tell(first, { { JobId("b"), milliseconds(600) } });
  EXPECT_FALSE(known.find(job, now));
}

/// Guards against a recall of what has ended, at the cost of a way there and
/// back.
TEST_F(KnownJobsTest, AJobThatIsNoLongerListedIsOver)
{
  tell(first, { { job, milliseconds(500) } });
  tell(first, {});
  EXPECT_FALSE(known.find(job, now));
}

/// Guards against a job given up that is forgotten while its runs stop.
TEST_F(KnownJobsTest, AJobThatWasGivenUpIsRecalledLikeOthers)
{
  tell(first, { { job, Duration::zero() } });
  EXPECT_EQ(known.find(job, now), (KnownJobs::Place{ first, TimePoint() }));
}

/// Guards against a second run beside that of a daemon that has just ended: its
/// holders' runs go on for as long as they do without their submitter.
TEST_F(KnownJobsTest, AJobOfALostDaemonIsHeldUntilItsRunsAreOver)
{
  tell(first, { { job, milliseconds(500) } });
  now += milliseconds(50);
  known.lost(first, now);
  const TimePoint overAt = now + lostRunLimit;
  EXPECT_EQ(known.find(job, now), (KnownJobs::Place{ std::nullopt, overAt }));
  now = overAt - milliseconds(1);
  EXPECT_TRUE(known.find(job, now));
  now = overAt;
  EXPECT_FALSE(known.find(job, now));
}

/// Guards against a wait that counts from when a silence was noticed, by which
/// a caller's time may be over.
TEST_F(KnownJobsTest, ADaemonThatFellSilentWasThereUntilItsNextHeartbeatWasDue)
{
  tell(first, { { job, milliseconds(500) } });
  const TimePoint overAt = now + interval + lostRunLimit;
  now += milliseconds(450);
  known.lost(first, now);
  EXPECT_EQ(known.find(job, now), (KnownJobs::Place{ std::nullopt, overAt }));
}

/// Guards against a job that is placed at once since one of two daemons that
/// had it is lost and its runs are over.
TEST_F(KnownJobsTest, OfTwoDaemonsTheOneThatCanBeAskedComesFirst)
{
  tell(first, { { job, milliseconds(500) } });
  tell(second, { { job, milliseconds(500) } });
  known.lost(first, now);
  EXPECT_EQ(known.find(job, now), (KnownJobs::Place{ second, TimePoint() }));
}

/// Guards against a hold that ends with the first of two lost daemons' runs.
TEST_F(KnownJobsTest, OfTwoLostDaemonsTheLaterOneCounts)
{
  tell(first, { { job, milliseconds(500) } });
  tell(second, { { job, milliseconds(500) } });
  known.lost(second, now + milliseconds(100));
  known.lost(first, now);
  EXPECT_EQ(
    known.find(job, now),
    (KnownJobs::Place{ std::nullopt, now + milliseconds(100) + lostRunLimit }));
}

/// Guards against a daemon that is back whose old list still holds jobs up.
TEST_F(KnownJobsTest, ADaemonThatIsBackCountsByItsNewList)
{
  tell(first, { { job, milliseconds(500) } });
  known.lost(first, now);
  now += milliseconds(100);
  tell(first, { { job, milliseconds(600) } });
  EXPECT_EQ(known.find(job, now), (KnownJobs::Place{ first, TimePoint() }));
}

/// Guards against a loss of a daemon that never told of any job.
TEST_F(KnownJobsTest, ADaemonThatToldOfNothingLeavesNothing)
{
  known.lost(first, now);
  EXPECT_FALSE(known.find(job, now));
}

} // namespace
} // namespace cowslippin::testing
