#include "libentry/cpustarvationdetector.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// Ticks several times, each time late by `late`. Returns how often the meter
/// changed its state.
int
tick(CpuStarvationDetector& meter, TimePoint& now, int ticks, milliseconds late)
{
  int changes = 0;
  for (int i = 0; i < ticks; ++i) {
    now += milliseconds(20) + late;
    changes += meter.tick(now) ? 1 : 0;
  }
  return changes;
}

TEST(CpuStarvationDetector, ASingleLateTickIsNotStrain)
{
  CpuStarvationDetector meter{ CpuStarvationDetector::Settings() };
  TimePoint now{};
  tick(meter, now, 10, milliseconds(0));
  EXPECT_EQ(tick(meter, now, 1, milliseconds(400)), 0);
  EXPECT_FALSE(meter.isCpuStarved());
}

TEST(CpuStarvationDetector, RepeatedLateTicksAreStrainUntilTheLatenessIsLow)
{
  CpuStarvationDetector meter{ CpuStarvationDetector::Settings() };
  TimePoint now{};
  EXPECT_EQ(tick(meter, now, 60, milliseconds(100)), 1);
  EXPECT_TRUE(meter.isCpuStarved());
  EXPECT_EQ(tick(meter, now, 100, milliseconds(30)), 0)
    << "30 ms are neither strained nor calm";
  EXPECT_TRUE(meter.isCpuStarved());
  EXPECT_EQ(tick(meter, now, 100, milliseconds(1)), 1);
  EXPECT_FALSE(meter.isCpuStarved());
}

} // namespace
} // namespace cowslippin::testing
