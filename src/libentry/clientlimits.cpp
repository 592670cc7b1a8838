#include "clientlimits.h"

#include <algorithm>

namespace cowslippin {

namespace {

constexpr std::size_t bytesPerMegabyte = std::size_t(1) << 20;
constexpr double shareOfMemory = 1.0 / 8;
/// For a machine without a limit of its memory.
constexpr std::size_t defaultBytes = 64 * bytesPerMegabyte;

/// The system may hold so many unread bytes of a connection, which count toward
/// the memory of the process.
constexpr double unreadBytesPerConnection = clientSocketBufferBytes;
constexpr double shareOfMemoryForUnread = 1.0 / 4;
/// Descriptors that aren't for clients: files, up to 12 connections to each of
/// 40 workers, one to each of 100 daemons in both directions, and some to the
/// store.
constexpr double ownDescriptors = 1000;
/// Of a machine with so few descriptors that fewer would be left.
constexpr double minShareOfDescriptors = 1.0 / 4;
/// For a machine without a limit of its descriptors.
constexpr double defaultConnections = 4096;
constexpr std::size_t maxReadinessChecks = 32;
constexpr std::size_t maxOperators = 16;

/// The connections that callers may have.
double
callersWithin(const MachineLimits& machine)
{
  double most = defaultConnections;
  if (machine.descriptors > 0)
    most = std::min(most,
                    std::max(machine.descriptors - ownDescriptors,
                             machine.descriptors * minShareOfDescriptors));
  if (machine.memoryMegabytes > 0)
    most = std::min(most,
                    machine.memoryMegabytes * shareOfMemoryForUnread *
                      double(bytesPerMegabyte) / unreadBytesPerConnection);
  return std::max(most, 1.0);
}

} // namespace

ClientLimits
clientLimitsFor(const MachineLimits& machine)
{
  ClientLimits limits;
  limits.maxBytes = machine.memoryMegabytes > 0
                      ? std::size_t(machine.memoryMegabytes * shareOfMemory *
                                    double(bytesPerMegabyte))
                      : defaultBytes;
  limits.maxCallers = std::size_t(callersWithin(machine));
  limits.maxReadinessChecks = maxReadinessChecks;
  limits.maxOperators = maxOperators;
  return limits;
}

} // namespace cowslippin
