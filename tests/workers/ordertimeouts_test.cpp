#include "libworkers/ordertimeouts.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

class OrderTimeoutsTest : public ::testing::Test
{
protected:
  OrderTimeoutsTest()
    : times(settings)
  {
  }

  void answerAll(Duration time)
  {
    for (unsigned i = 0; i < settings.minAnswers; ++i)
      times.addAnswerTime(time);
  }

  const OrderTimeouts::Settings settings;
  OrderTimeouts times;
  TimePoint now{ std::chrono::seconds(100) };
};

TEST_F(OrderTimeoutsTest, UsesTheMaximumTimeoutUntilEnoughAnswersAreReceived)
{
  EXPECT_EQ(times.answerTimeout(), settings.maxAnswerTimeout);
  answerAll(milliseconds(2));
  EXPECT_EQ(times.answerTimeout(), settings.minAnswerTimeout);
}

TEST_F(OrderTimeoutsTest, TimeoutFollowsAnswerTimesAndTheirDeviation)
{
  answerAll(milliseconds(40));
  EXPECT_GE(times.answerTimeout(), milliseconds(40));
  answerAll(milliseconds(2));
  times.addAnswerTime(milliseconds(30));
  EXPECT_GE(times.answerTimeout(), milliseconds(50))
    << "after one late answer others may be late too";
  for (int i = 0; i < 5; ++i)
    answerAll(milliseconds(500));
  EXPECT_EQ(times.answerTimeout(), settings.maxAnswerTimeout);
}

/// Guards against orders that a late event loop takes for unanswered: their
/// answers are read late by as much as the loop is.
TEST_F(OrderTimeoutsTest, TheTimeoutIncludesTheLagOfTheEventLoop)
{
  answerAll(milliseconds(2));
  times.setLoopLag(milliseconds(100));
  EXPECT_EQ(times.answerTimeout(),
            settings.minAnswerTimeout + milliseconds(100));
  times.setLoopLag(Duration::zero());
  EXPECT_EQ(times.answerTimeout(), settings.minAnswerTimeout);
}

/// Guards against a lease that expires because an unanswered report request is
/// repeated too late, and against a report that was read late and counts as one
/// of the worker's present state.
TEST_F(OrderTimeoutsTest, LagNeitherEndsALeaseNorMakesAnOldReportPrompt)
{
  const Duration lease = milliseconds(750);
  times.setLoopLag(std::chrono::seconds(2));
  EXPECT_LT(times.reportWait(now) + times.answerTimeout() +
              settings.maxLagAllowance,
            lease);
  EXPECT_EQ(times.promptAnswerTime(), settings.maxAnswerTimeout);
}

TEST_F(OrderTimeoutsTest, RequestsReportsMoreOftenWhileOrdersAreLost)
{
  times.addUnanswered(now);
  times.addUnanswered(now);
  EXPECT_EQ(times.reportWait(now), settings.reportWait)
    << "one silent worker doesn't mean that orders are lost";
  now += milliseconds(100);
  times.addUnanswered(now);
  times.addUnanswered(now);
  EXPECT_EQ(times.reportWait(now), settings.shortReportWait);
  EXPECT_EQ(times.reportWait(now + std::chrono::seconds(2)),
            settings.reportWait);
}

} // namespace
} // namespace cowslippin::testing
