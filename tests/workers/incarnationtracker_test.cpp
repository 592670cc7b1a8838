#include "libworkers/workers.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const TimePoint start{ std::chrono::seconds(1000) };
const WorkerBootTime first(1800000000000);
const WorkerBootTime second(1800000005000);

TEST(IncarnationTracker, AWorkerWithoutABootTimeHasOneIncarnation)
{
  IncarnationTracker tracker({}, start);
  EXPECT_EQ(tracker.observeListEntry({}, start), WorkerIncarnation::Current);
  EXPECT_EQ(tracker.observeAnswer({}, start, start),
            WorkerIncarnation::Current);
}

TEST(IncarnationTracker, TheFirstBootTimeIsThatOfTheCurrentIncarnation)
{
  IncarnationTracker tracker({}, start);
  EXPECT_EQ(tracker.observeAnswer(first, start, start),
            WorkerIncarnation::Current);
  EXPECT_EQ(tracker.observeListEntry({}, start), WorkerIncarnation::Current);
  EXPECT_EQ(tracker.observeListEntry(second, start), WorkerIncarnation::Next);
}

TEST(IncarnationTracker, ALaterBootTimeInListOrAnswerIsTheNextIncarnation)
{
  IncarnationTracker byList(first, start);
  EXPECT_EQ(byList.observeListEntry(second, start), WorkerIncarnation::Next);
  EXPECT_EQ(byList.observeAnswer(second, start, start),
            WorkerIncarnation::Current);

  IncarnationTracker byAnswer(first, start);
  EXPECT_EQ(byAnswer.observeAnswer(second, start, start),
            WorkerIncarnation::Next);
  EXPECT_EQ(byAnswer.observeListEntry(second, start),
            WorkerIncarnation::Current);
}

TEST(IncarnationTracker, RecognisesListEntriesAndAnswersOfAnEarlierIncarnation)
{
  IncarnationTracker tracker(first, start);
  tracker.observeListEntry(second, start + milliseconds(5));
  EXPECT_EQ(tracker.observeListEntry(first, start + milliseconds(10)),
            WorkerIncarnation::Earlier);
  EXPECT_EQ(tracker.observeAnswer(first, start, start + milliseconds(10)),
            WorkerIncarnation::Earlier);
}

TEST(IncarnationTracker,
     AnOlderAnswerWithAnEarlierBootTimeIsOfAnEarlierIncarnation)
{
  // The list reports the second incarnation before anything of the first was
  // known.
  IncarnationTracker tracker(second, start);
  EXPECT_EQ(tracker.observeAnswer(first, start - milliseconds(1), start),
            WorkerIncarnation::Earlier);
}

TEST(IncarnationTracker, DetectsTheNextIncarnationAfterItsClockWasSetBack)
{
  IncarnationTracker tracker(second, start);
  const TimePoint sent = start + milliseconds(20);
  EXPECT_EQ(tracker.observeAnswer(first, sent, sent + milliseconds(2)),
            WorkerIncarnation::Next);
  EXPECT_EQ(tracker.observeListEntry(second, sent + milliseconds(300)),
            WorkerIncarnation::Earlier)
    << "the list still has the ended incarnation";
  EXPECT_EQ(tracker.observeListEntry(first, sent + milliseconds(600)),
            WorkerIncarnation::Current);
}

} // namespace
} // namespace cowslippin::testing
