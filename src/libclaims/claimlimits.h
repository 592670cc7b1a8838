#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// The bounds of a claim table.
struct ClaimLimits
{
  /// How long a claim is remembered after it was read, and for how long after
  /// its submission a claim may start. A resubmission within this time is
  /// recognised; a later one counts as a new submission.
  Duration window = std::chrono::minutes(10);

  /// How long the platform surely keeps a record; 0 if it promises nothing.
  /// Below `window`, a daemon that starts and finds old records dropped must
  /// wait for a window before it claims.
  Duration retention = std::chrono::hours(1);

  /// Claims remembered and pending together, beyond which `submit` refuses.
  std::size_t maxEntries = 1'000'000;

  /// Keys in one batch.
  std::size_t maxBatchEntries = 500;

  /// When a caller should come back to a daemon that has not caught up.
  Duration catchUpRetry = std::chrono::seconds(1);
};

} // namespace cowslippin
