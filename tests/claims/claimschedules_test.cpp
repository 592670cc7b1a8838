#include "cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cowslippin {
namespace {

rc::Gen<Step>
anyStep(const rc::Gen<StepKind>& kind)
{
  return rc::gen::build<Step>(
    rc::gen::set(&Step::kind, kind),
    rc::gen::set(&Step::daemon,
                 rc::gen::inRange<unsigned>(0, Cluster::daemonCount)),
    rc::gen::set(&Step::key, rc::gen::inRange<unsigned>(0, Cluster::keyCount)),
    rc::gen::set(&Step::choice, rc::gen::inRange<unsigned>(0, 5)));
}

rc::Gen<StepKind>
steadyKind()
{
  return rc::gen::weightedElement<StepKind>({ { 10, StepKind::Submit },
                                              { 16, StepKind::Append },
                                              { 6, StepKind::LandLate },
                                              { 24, StepKind::Read },
                                              { 8, StepKind::GiveUp },
                                              { 10, StepKind::Start },
                                              { 8, StepKind::DeliverDecline },
                                              { 1, StepKind::Restart } });
}

rc::Gen<StepKind>
passingKind()
{
  return rc::gen::weightedElement<StepKind>({ { 30, StepKind::Submit },
                                              { 48, StepKind::Append },
                                              { 18, StepKind::LandLate },
                                              { 72, StepKind::Read },
                                              { 24, StepKind::GiveUp },
                                              { 30, StepKind::Start },
                                              { 24, StepKind::DeliverDecline },
                                              { 2, StepKind::Restart },
                                              { 10, StepKind::Advance },
                                              { 1, StepKind::DropRecords } });
}

/// What a property's schedules brought about in all.
struct Coverage
{
  std::size_t starts = 0;
  std::size_t supersededStarts = 0;
};

Coverage
checkSchedules(const rc::Gen<StepKind>& kinds)
{
  Coverage coverage;
  const auto schedules = rc::gen::container<Schedule>(anyStep(kinds));
  const bool holds = rc::check([&] {
    const Schedule schedule = *schedules;
    Cluster cluster;
    cluster.run(schedule);
    coverage.starts += cluster.starts();
    coverage.supersededStarts += cluster.supersededStarts();
    if (!cluster.violation().empty()) {
      RC_FAIL("violated: " + cluster.violation());
    }
  });
  EXPECT_TRUE(holds);
  return coverage;
}

TEST(ClaimSchedules, AKeyStartsAtMostOnce)
{
  const Coverage coverage = checkSchedules(steadyKind());
  EXPECT_GT(coverage.starts, 5000U);
  EXPECT_GT(coverage.supersededStarts, 500U);
}

TEST(ClaimSchedules, AKeyStartsAtMostOnceAWindow)
{
  const Coverage coverage = checkSchedules(passingKind());
  EXPECT_GT(coverage.starts, 5000U);
  EXPECT_GT(coverage.supersededStarts, 500U);
}

} // namespace
} // namespace cowslippin
