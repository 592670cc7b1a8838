#pragma once

#include "libjobs/machinelimits.h"

#include <cstddef>

namespace cowslippin {

/// The size of the system's buffers of a client's socket, in each direction.
constexpr int clientSocketBufferBytes = 16 * 1024;

/// Limits on what the clients of a daemon's HTTP servers may take of its
/// machine, over all connections.
struct ClientLimits
{
  /// Memory of requests that aren't whole and of answers that aren't read.
  std::size_t maxBytes = 0;
  /// Connections of callers, of readiness checks and of operators. Those of one
  /// kind can't take another's.
  std::size_t maxCallers = 0;
  std::size_t maxReadinessChecks = 0;
  std::size_t maxOperators = 0;

  friend bool operator==(const ClientLimits& a, const ClientLimits& b)
  {
    return a.maxBytes == b.maxBytes && a.maxCallers == b.maxCallers &&
           a.maxReadinessChecks == b.maxReadinessChecks &&
           a.maxOperators == b.maxOperators;
  }
  friend bool operator!=(const ClientLimits& a, const ClientLimits& b)
  {
    return !(a == b);
  }
};

/// Returns the limits for a machine, of which a part stays for the daemon's own
/// use. They are fixed where the machine has no limit.
ClientLimits
clientLimitsFor(const MachineLimits& machine);

} // namespace cowslippin
