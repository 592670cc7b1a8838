#include "libentry/entry.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

MachineLimits
machine(double megabytes, double descriptors)
{
  MachineLimits limits;
  limits.memoryMegabytes = megabytes;
  limits.descriptors = descriptors;
  return limits;
}

/// Guards against a burst of ordinary callers that meets a limit on the
/// smallest machine of the platform.
TEST(ClientLimits, LeaveRoomForBurstsOfOrdinaryCallers)
{
  const ClientLimits limits = clientLimitsFor(machine(120, 3075));
  EXPECT_GT(limits.maxCallers, 1200u);
  EXPECT_GT(limits.maxBytes, std::size_t(14) << 20);
}

TEST(ClientLimits, KeepDescriptorsForTheDaemonItself)
{
  EXPECT_LE(clientLimitsFor(machine(260, 4100)).maxCallers, 3100u);
  EXPECT_LE(clientLimitsFor(machine(0, 1000)).maxCallers, 250u);
  EXPECT_GT(clientLimitsFor(machine(1, 10)).maxCallers, 0u);
}

TEST(ClientLimits, AreFixedWhereTheMachineHasNoLimit)
{
  const ClientLimits limits = clientLimitsFor(MachineLimits());
  EXPECT_EQ(limits.maxCallers, 4096u);
  EXPECT_EQ(limits.maxBytes, std::size_t(64) << 20);
}

} // namespace
} // namespace cowslippin::testing
