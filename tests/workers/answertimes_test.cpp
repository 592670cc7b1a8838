#include "libworkers/answertimes.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

class AnswerTimesTest : public ::testing::Test
{
protected:
  AnswerTimesTest()
    : times(settings)
  {
  }

  void answerAll(Duration time)
  {
    for (unsigned i = 0; i < settings.enoughAnswers; ++i)
      times.answered(time);
  }

  const AnswerTimes::Settings settings;
  AnswerTimes times;
  TimePoint now{ std::chrono::seconds(100) };
};

TEST_F(AnswerTimesTest, WaitsLongUntilEnoughAnswersWereSeen)
{
  EXPECT_EQ(times.answerWait(), settings.longestWait);
  answerAll(milliseconds(2));
  EXPECT_EQ(times.answerWait(), settings.shortestWait);
}

TEST_F(AnswerTimesTest, WaitsLongerWhereAnswersTakeLongOrVary)
{
  answerAll(milliseconds(40));
  EXPECT_GE(times.answerWait(), milliseconds(40));
  answerAll(milliseconds(2));
  times.answered(milliseconds(30));
  EXPECT_GE(times.answerWait(), milliseconds(50))
    << "one late answer shows that others may come late";
  for (int i = 0; i < 5; ++i)
    answerAll(milliseconds(500));
  EXPECT_EQ(times.answerWait(), settings.longestWait);
}

TEST_F(AnswerTimesTest, AsksForReportsMoreOftenWhileOrdersAreLost)
{
  times.unanswered(now);
  times.unanswered(now);
  EXPECT_EQ(times.reportWait(now), settings.reportWait)
    << "one worker that falls silent is no loss of orders";
  now += milliseconds(100);
  times.unanswered(now);
  times.unanswered(now);
  EXPECT_EQ(times.reportWait(now), settings.shortReportWait);
  EXPECT_EQ(times.reportWait(now + std::chrono::seconds(2)),
            settings.reportWait);
}

} // namespace
} // namespace cowslippin::testing
