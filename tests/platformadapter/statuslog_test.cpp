#include "platform/statuslog.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using platform::StatusLog;
using std::chrono::milliseconds;

/// Guards against a record whose later part doesn't say which code wrote it.
TEST(StatusLog, TheCommitRecurs)
{
  LogCapture log;
  const TimePoint start{ std::chrono::seconds(100) };
  StatusLog status("0123456789ab", start);
  EntryCore::Stats stats;
  stats.callersWaiting = 3;
  stats.jobsScheduled = 2;
  stats.shardsHeld = 1;
  for (auto now = start; now <= start + 2 * StatusLog::interval;
       now += milliseconds(20)) {
    if (status.isDue(now))
      status.write(stats, now);
  }
  const auto lines = log.of("daemon-status");
  ASSERT_EQ(lines.size(), 3u);
  EXPECT_EQ(lines[0]["uptimeMs"], 0);
  EXPECT_EQ(lines[2]["uptimeMs"], 20000);
  for (const auto& line : lines) {
    EXPECT_EQ(line["commit"], "0123456789ab");
    EXPECT_EQ(line["jobsAtGateway"], 3);
    EXPECT_EQ(line["jobsHeld"], 2);
    EXPECT_EQ(line["shardsHeld"], 1);
  }
}

/// Guards against a record in which a flood of starts that couldn't be sent has
/// suppressed the lines that would tell so.
TEST(StatusLog, CountsRunsThatWerePresumedOver)
{
  LogCapture log;
  StatusLog status("0123456789ab", TimePoint{});
  EntryCore::Stats stats;
  stats.presumedOver = { { OrderFailure::NotSent, 90000 },
                         { OrderFailure::Fenced, 2 },
                         { OrderFailure::StaleRun, 3 },
                         { UnlistedEnd::Missing, 4 },
                         { UnlistedEnd::LeaseExpired, 5 } };
  stats.reappeared = { { UnlistedEnd::Missing, 1 } };
  status.write(stats, TimePoint{});
  const auto lines = log.of("daemon-status");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["startsNotSent"], 90000);
  EXPECT_EQ(lines[0]["startsRefused"], 5);
  EXPECT_EQ(lines[0]["unlistedEnds"], 9);
  EXPECT_EQ(lines[0]["runsReappeared"], 1);
}

} // namespace
} // namespace cowslippin::testing
