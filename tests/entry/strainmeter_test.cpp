#include "libentry/strainmeter.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// Ticks for a while, each so much later than it should be. The number of times
/// that the meter changed its mind.
int
tick(StrainMeter& meter, TimePoint& now, int ticks, milliseconds late)
{
  int changes = 0;
  for (int i = 0; i < ticks; ++i) {
    now += milliseconds(20) + late;
    changes += meter.ticked(now) ? 1 : 0;
  }
  return changes;
}

TEST(StrainMeter, OneLateTickIsNoStrain)
{
  StrainMeter meter{ StrainMeter::Settings() };
  TimePoint now{};
  tick(meter, now, 10, milliseconds(0));
  EXPECT_EQ(tick(meter, now, 1, milliseconds(400)), 0);
  EXPECT_FALSE(meter.isStrained());
}

TEST(StrainMeter, LateTicksOverAWhileAreAndEndOnlyWhenTheyAreCalm)
{
  StrainMeter meter{ StrainMeter::Settings() };
  TimePoint now{};
  EXPECT_EQ(tick(meter, now, 60, milliseconds(100)), 1);
  EXPECT_TRUE(meter.isStrained());
  EXPECT_EQ(tick(meter, now, 100, milliseconds(30)), 0) << "neither";
  EXPECT_TRUE(meter.isStrained());
  EXPECT_EQ(tick(meter, now, 100, milliseconds(1)), 1);
  EXPECT_FALSE(meter.isStrained());
}

} // namespace
} // namespace cowslippin::testing
