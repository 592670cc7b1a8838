#pragma once

#include "attemptend.h"
#include "libcore/core.h"

namespace cowslippin {

/// The report of an attempt that ended.
struct AttemptReport
{
  EndpointId endpoint;
  /// The number that the `Start` gave.
  int attempt = 1;
  AttemptEnd end = AttemptEnd::Unknown;
  /// From the start to the end of the attempt.
  Duration runTime = Duration::zero();
  /// How many slots the endpoint said it has free, if it did.
  std::optional<int> slotsFree;
  /// It got no answer, although a new connection to the endpoint worked
  /// meanwhile.
  bool isConnectionSilent = false;
};

} // namespace cowslippin
