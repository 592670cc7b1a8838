#include "libworkers/workers.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const TimePoint start{ std::chrono::seconds(1000) };
const WorkerBirth first(1800000000000);
const WorkerBirth second(1800000005000);

TEST(LifeTracker, AWorkerThatTellsNoBirthHasOneLife)
{
  LifeTracker life({}, start);
  EXPECT_EQ(life.seenInList({}, start), WorkerLife::Present);
  EXPECT_EQ(life.seenInAnswer({}, start, start), WorkerLife::Present);
}

TEST(LifeTracker, TheFirstBirthThatIsToldIsThatOfThePresentLife)
{
  LifeTracker life({}, start);
  EXPECT_EQ(life.seenInAnswer(first, start, start), WorkerLife::Present);
  EXPECT_EQ(life.seenInList({}, start), WorkerLife::Present);
  EXPECT_EQ(life.seenInList(second, start), WorkerLife::Next);
}

TEST(LifeTracker, ALaterBirthIsTheNextLifeFromWhicheverStreamItComes)
{
  LifeTracker byList(first, start);
  EXPECT_EQ(byList.seenInList(second, start), WorkerLife::Next);
  EXPECT_EQ(byList.seenInAnswer(second, start, start), WorkerLife::Present);

  LifeTracker byAnswer(first, start);
  EXPECT_EQ(byAnswer.seenInAnswer(second, start, start), WorkerLife::Next);
  EXPECT_EQ(byAnswer.seenInList(second, start), WorkerLife::Present);
}

TEST(LifeTracker, WhatWasSaidByAnEarlierLifeIsKnownForIt)
{
  LifeTracker life(first, start);
  life.seenInList(second, start + milliseconds(5));
  EXPECT_EQ(life.seenInList(first, start + milliseconds(10)),
            WorkerLife::Earlier);
  EXPECT_EQ(life.seenInAnswer(first, start, start + milliseconds(10)),
            WorkerLife::Earlier);
}

TEST(LifeTracker, AnAnswerToAnOlderOrderWithAnEarlierBirthIsOfAnEarlierLife)
{
  // The list told of the second life before anything of the first was known.
  LifeTracker life(second, start);
  EXPECT_EQ(life.seenInAnswer(first, start - milliseconds(1), start),
            WorkerLife::Earlier);
}

TEST(LifeTracker, AClockThatWasSetBackDoesNotHideTheNextLife)
{
  LifeTracker life(second, start);
  const TimePoint sent = start + milliseconds(20);
  EXPECT_EQ(life.seenInAnswer(first, sent, sent + milliseconds(2)),
            WorkerLife::Next);
  EXPECT_EQ(life.seenInList(second, sent + milliseconds(300)),
            WorkerLife::Earlier)
    << "the list still has the life that is over";
  EXPECT_EQ(life.seenInList(first, sent + milliseconds(600)),
            WorkerLife::Present);
}

} // namespace
} // namespace cowslippin::testing
