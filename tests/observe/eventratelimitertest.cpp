#include "libobserve/observe.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

constexpr unsigned limit = 3;

TimePoint
at(int milliseconds)
{
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

int
admitted(EventRateLimiter& limiter, int records, TimePoint now)
{
  int count = 0;
  for (int i = 0; i < records; ++i) {
    count += limiter.admit("peer-down", now) ? 1 : 0;
  }
  return count;
}

TEST(EventRateLimiter, AdmitsUpToTheLimitWithinASecond)
{
  EventRateLimiter limiter(limit);
  EXPECT_EQ(admitted(limiter, 2, at(0)), 2);
  EXPECT_EQ(admitted(limiter, 10, at(999)), 1);
  EXPECT_EQ(admitted(limiter, 10, at(1000)), 3);
}

TEST(EventRateLimiter, TellsEachSuppressedCountOnce)
{
  EventRateLimiter limiter(limit);
  admitted(limiter, 10, at(0));
  EXPECT_TRUE(limiter.takeEnded(at(999)).empty());
  const std::vector<SuppressedEvents> expected = { { "peer-down", 7 } };
  EXPECT_EQ(limiter.takeEnded(at(1000)), expected);
  EXPECT_TRUE(limiter.takeEnded(at(5000)).empty());
}

TEST(EventRateLimiter, TellsWhatANewSecondOfTheSameEventEnded)
{
  EventRateLimiter limiter(limit);
  admitted(limiter, 5, at(0));
  admitted(limiter, 1, at(1500));
  const std::vector<SuppressedEvents> expected = { { "peer-down", 2 } };
  EXPECT_EQ(limiter.takeEnded(at(1500)), expected);
}

TEST(EventRateLimiter, LimitsEachEventByItself)
{
  EventRateLimiter limiter(limit);
  admitted(limiter, 10, at(0));
  EXPECT_TRUE(limiter.admit("peer-up", at(0)));
}

TEST(EventRateLimiter, TakeAllTellsASecondThatHasNotEnded)
{
  EventRateLimiter limiter(limit);
  admitted(limiter, 4, at(0));
  const std::vector<SuppressedEvents> expected = { { "peer-down", 1 } };
  EXPECT_EQ(limiter.takeAll(), expected);
  EXPECT_TRUE(limiter.takeAll().empty());
}

TEST(EventRateLimiter, TotalsCountWhatIsSuppressedToo)
{
  EventRateLimiter limiter(2);
  const TimePoint start{ std::chrono::seconds(5) };
  for (int i = 0; i < 5; ++i) {
    limiter.admit("job-ended", start);
  }
  limiter.admit("job-ended", start + std::chrono::seconds(3));
  limiter.admit("peer-up", start);
  EXPECT_EQ(limiter.totals().at("job-ended"), 6u);
  EXPECT_EQ(limiter.totals().at("peer-up"), 1u);
}

/// Guards against a burst of decisions that is cut as if they were frequent.
TEST(EventRateLimiter, DecisionsHaveALimitOfTheirOwn)
{
  EventRateLimiter limiter(1, 3);
  int count = 0;
  for (int i = 0; i < 10; ++i)
    count += limiter.admit("lease-lapsed", at(0), LogRank::Decisive) ? 1 : 0;
  EXPECT_EQ(count, 3);
}

/// Guards against records that are lost in the queue without a trace.
TEST(EventRateLimiter, WhatWasNotWrittenCountsAsSuppressed)
{
  EventRateLimiter limiter(limit);
  admitted(limiter, 2, at(0));
  limiter.notWritten("peer-down");
  const std::vector<SuppressedEvents> expected = { { "peer-down", 1 } };
  EXPECT_EQ(limiter.takeEnded(at(1000)), expected);
}

} // namespace
} // namespace cowslippin
