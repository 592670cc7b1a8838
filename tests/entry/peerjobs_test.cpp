#include "libentry/peerjobs.h"

#include "libentry/heartbeatschedule.h"

#include "libjobs/jobs.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const VmId first("first");
const VmId second("second");
const JobId job("a");

class PeerJobsTest : public ::testing::Test
{
protected:
  void receiveList(const VmId& vm, const std::vector<LongRunningJob>& jobs)
  {
    knownJobs.update(vm, jobs, now);
  }

  TimePoint now{ std::chrono::seconds(100) };
  const Duration interval = HeartbeatSchedule::Settings().interval;
  PeerJobs knownJobs;
};

/// Guards against a job that is started here while another daemon has it in
/// progress.
TEST_F(PeerJobsTest, AListedJobIsRecalledFromTheDaemonThatListsIt)
{
  receiveList(first, { { JobId("b"), milliseconds(600) } });
  receiveList(second, { { job, milliseconds(500) }, { JobId("c"), {} } });
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ second, TimePoint() }));
}

/// Guards against jobs that are held up by unrelated jobs of other daemons.
TEST_F(PeerJobsTest, AJobThatNoDaemonListsIsUnknown)
{
  receiveList(first, { { JobId("b"), milliseconds(600) } });
  EXPECT_FALSE(knownJobs.find(job, now));
}

/// Guards against a recall of an ended job, which costs a round trip.
TEST_F(PeerJobsTest, AJobThatIsNoLongerListedHasEnded)
{
  receiveList(first, { { job, milliseconds(500) } });
  receiveList(first, {});
  EXPECT_FALSE(knownJobs.find(job, now));
}

/// Guards against an abandoned job that is forgotten while its runs are still
/// being stopped. An abandoned job is listed with an age of zero.
TEST_F(PeerJobsTest, AnAbandonedJobIsRecalledLikeOthers)
{
  receiveList(first, { { job, Duration::zero() } });
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ first, TimePoint() }));
}

/// Guards against a second run that starts beside orphaned runs. When a daemon
/// is lost, holders let the runs of its jobs go on for a while without their
/// submitter.
TEST_F(PeerJobsTest, AJobOfALostDaemonIsHeldUntilItsOrphanedRunsHaveEnded)
{
  receiveList(first, { { job, milliseconds(500) } });
  now += milliseconds(50);
  knownJobs.peerLost(first, now);
  const TimePoint overAt = now + maxOrphanedRun;
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ std::nullopt, overAt }));
  now = overAt - milliseconds(1);
  EXPECT_TRUE(knownJobs.find(job, now));
  now = overAt;
  EXPECT_FALSE(knownJobs.find(job, now));
}

/// Guards against a hold that counts from when the silence was detected: the
/// caller's deadline may pass by then. A silent daemon was alive until its next
/// heartbeat was due at the latest, and its orphaned runs end a fixed time
/// after that.
TEST_F(PeerJobsTest, ASilentDaemonCountsAsAliveUntilItsNextHeartbeatWasDue)
{
  receiveList(first, { { job, milliseconds(500) } });
  const TimePoint overAt = now + interval + maxOrphanedRun;
  now += milliseconds(450);
  knownJobs.peerLost(first, now);
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ std::nullopt, overAt }));
}

/// Guards against a job that is placed at once. One of two daemons that listed
/// it is lost and its orphaned runs have ended, but the other daemon still has
/// the job in progress.
TEST_F(PeerJobsTest, AReachableDaemonTakesPrecedenceOverALostOne)
{
  receiveList(first, { { job, milliseconds(500) } });
  receiveList(second, { { job, milliseconds(500) } });
  knownJobs.peerLost(first, now);
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ second, TimePoint() }));
}

/// Guards against a hold that ends too early, with the orphaned runs of only
/// the first of two lost daemons.
TEST_F(PeerJobsTest, OfTwoLostDaemonsTheOneLostLaterCounts)
{
  receiveList(first, { { job, milliseconds(500) } });
  receiveList(second, { { job, milliseconds(500) } });
  knownJobs.peerLost(second, now + milliseconds(100));
  knownJobs.peerLost(first, now);
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ std::nullopt,
                                 now + milliseconds(100) + maxOrphanedRun }));
}

/// Guards against a reconnected daemon whose list from before the loss still
/// holds up jobs.
TEST_F(PeerJobsTest, TheNewListOfAReconnectedDaemonReplacesItsOldList)
{
  receiveList(first, { { job, milliseconds(500) } });
  knownJobs.peerLost(first, now);
  now += milliseconds(100);
  receiveList(first, { { job, milliseconds(600) } });
  EXPECT_EQ(knownJobs.find(job, now),
            (PeerJobs::Location{ first, TimePoint() }));
}

/// Guards against a lost daemon that never listed any job and yet holds up
/// jobs.
TEST_F(PeerJobsTest, ALostDaemonThatListedNoJobHoldsUpNoJob)
{
  knownJobs.peerLost(first, now);
  EXPECT_FALSE(knownJobs.find(job, now));
}

} // namespace
} // namespace cowslippin::testing
