#include "clientlimits.h"

namespace cowslippin {

namespace {

constexpr std::size_t bytesPerMegabyte = std::size_t(1) << 20;
constexpr double shareOfMemory = 1.0 / 8;
/// For a machine without a limit of its memory.
constexpr std::size_t defaultBytes = 64 * bytesPerMegabyte;

} // namespace

ClientLimits
clientLimitsFor(const MachineLimits& machine)
{
  ClientLimits limits;
  limits.maxBytes = machine.memoryMegabytes > 0
                      ? std::size_t(machine.memoryMegabytes * shareOfMemory *
                                    double(bytesPerMegabyte))
                      : defaultBytes;
  return limits;
}

} // namespace cowslippin
