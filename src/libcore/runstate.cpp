#include "runstate.h"

#include <array>

namespace cowslippin {

namespace {

constexpr std::array<RunState, 4> allRunStates = { RunState::NotRun,
                                                   RunState::MayHaveRun,
                                                   RunState::Failed,
                                                   RunState::Completed };

} // namespace

std::string_view
toString(RunState state)
{
  switch (state) {
    case RunState::NotRun:
      return "not run";
    case RunState::MayHaveRun:
      return "may have run";
    case RunState::Failed:
      return "failed";
    case RunState::Completed:
      return "completed";
  }
  return "may have run";
}

std::optional<RunState>
runStateFromString(std::string_view text)
{
  for (RunState state : allRunStates) {
    if (toString(state) == text) {
      return state;
    }
  }
  return std::nullopt;
}

} // namespace cowslippin
