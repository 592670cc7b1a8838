#pragma once

#include <optional>
#include <string_view>

namespace cowslippin {

/// What is known of whether work ran.
enum class RunState
{
  /// It did not start and never will.
  NotRun,
  /// It may have started; nobody can tell any more.
  MayHaveRun,
  /// It ran and failed.
  Failed,
  /// It ran and its whole answer is there.
  Completed,
};

/// The words used on the wire: `not run`, `may have run`, `failed`,
/// `completed`.
std::string_view
toString(RunState state);

/// The state that `text` names, or nothing.
std::optional<RunState>
runStateFromString(std::string_view text);

} // namespace cowslippin
