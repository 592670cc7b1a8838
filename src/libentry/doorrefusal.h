#pragma once

#include "libcore/clock.h"

#include <string>

namespace cowslippin {

/// The refusal of a caller's job on arrival, because this daemon is short of
/// processor time. Nothing of the submission has run or will run.
struct DoorRefusal
{
  Duration retryAfter = Duration::zero();
  std::string reason;
  /// Whether the caller's connection should be closed, so that the platform's
  /// balancer assigns the caller to another daemon.
  bool closesConnection = false;
};

} // namespace cowslippin
