#pragma once

namespace cowslippin {

/// How an attempt at an endpoint ended.
enum class AttemptEnd
{
  /// The whole answer is there.
  Answered,
  /// It ran and failed.
  Failed,
  /// It surely did not start.
  NotStarted,
  /// It may have started and nobody can tell.
  Unknown,
};

} // namespace cowslippin
