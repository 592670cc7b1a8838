#include "schedulerfixture.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// Starts on two workers that don't carry out any, answered in the turn in
/// which they are sent.
class RejectedStarts : public ::testing::TestWithParam<OrderFailure>
{
protected:
  void SetUp() override
  {
    fixture.addWorker("w1");
    fixture.addWorker("w2");
    fixture.holdShard();
    fixture.delaysStarts = true;
  }

  /// Answers all starts that are sent now, and returns how many there were.
  std::size_t rejectAll()
  {
    constexpr std::size_t limit = 1000;
    std::size_t rejected = 0;
    while (!fixture.lateStarts.empty() && rejected < limit) {
      fixture.orders.clear();
      const auto [worker, order] = fixture.lateStarts.front();
      fixture.lateStarts.erase(fixture.lateStarts.begin());
      fixture.scheduler.startAnswered(
        worker, order.key, GetParam(), fixture.now);
      ++rejected;
    }
    return rejected;
  }

  void tickAfter(Duration time)
  {
    fixture.now += time;
    fixture.scheduler.tick(fixture.now);
  }

  SchedulerFixture fixture;
};

/// Guards against a start that is tried without end in one turn of the event
/// loop, as when all connections to the workers were reset.
TEST_P(RejectedStarts, ATaskIsTriedOnceOnEachWorkerUntilTheDelayHasPassed)
{
  fixture.scheduler.submit(fixture.request("job", 1), fixture.now);
  EXPECT_EQ(rejectAll(), 2u);
  tickAfter(milliseconds(40));
  EXPECT_EQ(rejectAll(), 0u);
  tickAfter(milliseconds(60));
  EXPECT_EQ(rejectAll(), 2u);
}

/// Guards against a worker that is given no task any more.
TEST_P(RejectedStarts, TheTaskStartsOnceWorkersCarryOutStartsAgain)
{
  fixture.scheduler.submit(fixture.request("job", 1), fixture.now);
  rejectAll();
  fixture.delaysStarts = false;
  fixture.advance(120);
  EXPECT_EQ(fixture.totalRuns(), 1u);
}

INSTANTIATE_TEST_SUITE_P(Failures,
                         RejectedStarts,
                         ::testing::Values(OrderFailure::NotSent,
                                           OrderFailure::Late,
                                           OrderFailure::NoRoom,
                                           OrderFailure::OtherIncarnation));

} // namespace
} // namespace cowslippin::testing
