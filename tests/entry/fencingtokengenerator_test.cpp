#include "libentry/fencingtokengenerator.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

class FencingTokenGeneratorTest : public ::testing::Test
{
protected:
  FencingTokenGenerator source(std::uint64_t processNumber = 7)
  {
    return FencingTokenGenerator([this] { return timeOfDay; }, processNumber);
  }

  std::int64_t timeOfDay = 1800000000000;
};

TEST_F(FencingTokenGeneratorTest, EachTokenIsHigherThanTheLastOneAndThanAnySeen)
{
  FencingTokenGenerator tokens = source();
  const FencingToken first = tokens.next();
  const FencingToken second = tokens.next();
  EXPECT_GT(second, first);
  tokens.observe(second + 1000000);
  EXPECT_GT(tokens.next(), second + 1000000);
}

TEST_F(FencingTokenGeneratorTest, TwoProcessesMakeDifferentTokensAtTheSameTime)
{
  EXPECT_NE(source(7).next(), source(8).next());
}

TEST_F(FencingTokenGeneratorTest,
       ALaterProcessMakesAHigherTokenThanAnUnknownEarlierOne)
{
  const FencingToken earlier = source().next();
  timeOfDay += 5;
  EXPECT_GT(source(1).next(), earlier);
}

/// Guards against tokens that daemons which have just started don't adopt,
/// because one of another writer was only just plausible.
TEST_F(FencingTokenGeneratorTest, TokensAboveAPlausibleOneStayPlausible)
{
  constexpr std::int64_t yearMs = std::int64_t(365) * 24 * 3600 * 1000;
  timeOfDay += yearMs - 1;
  const FencingToken odd = source(3).next();
  timeOfDay += 1;
  const FencingToken tooHigh = source(3).next();
  timeOfDay -= yearMs;
  FencingTokenGenerator tokens = source();
  EXPECT_TRUE(tokens.isPlausible(odd));
  EXPECT_FALSE(tokens.isPlausible(tooHigh));
  tokens.observe(odd);
  for (int i = 0; i < 1000; ++i) {
    timeOfDay += 2;
    EXPECT_TRUE(source(9).isPlausible(tokens.next()));
  }
}

TEST_F(FencingTokenGeneratorTest,
       AfterARefusalTheTokenExceedsThoseOfAClockTwoSecondsAhead)
{
  FencingTokenGenerator tokens = source();
  tokens.next();
  timeOfDay += 2000;
  const FencingToken higherToken = source(9).next();
  timeOfDay -= 2000;
  EXPECT_GT(tokens.nextAfterRefusal(1), higherToken);
}

TEST_F(FencingTokenGeneratorTest,
       AfterSevenRefusalsTheTokenExceedsThoseOfAClockThreeMinutesAhead)
{
  FencingTokenGenerator tokens = source();
  timeOfDay += 180000;
  const FencingToken higherToken = source(9).next();
  timeOfDay -= 180000;
  for (unsigned refusals = 1; refusals < 7; ++refusals)
    tokens.nextAfterRefusal(refusals);
  EXPECT_GT(tokens.nextAfterRefusal(7), higherToken);
}

TEST_F(FencingTokenGeneratorTest, AClockThatIsSetBackDoesNotLowerTokens)
{
  FencingTokenGenerator tokens = source();
  const FencingToken first = tokens.next();
  timeOfDay = 0;
  EXPECT_GT(tokens.next(), first);
  EXPECT_LT(tokens.highest(), FencingToken{ 1 } << 53);
}

} // namespace
} // namespace cowslippin::testing
