#pragma once

#include "simulation.h"

#include <functional>
#include <vector>

namespace cowslippin::testing {

/// A fault scenario. The test calls `inject` eight times, 700 to 2,300 ms
/// apart.
struct FaultScenario
{
  const char* name;
  std::function<void(Simulation&)> inject;
  Simulation::Settings settings = {};
};

/// All scenarios. Test cases select a scenario by its index, so the order must
/// not change.
std::vector<FaultScenario>
faultScenarios();

/// The workers of two of the three zones have enough capacity for all jobs, so
/// that a third of the workers can be evacuated at once.
Simulation::Settings
withRoomToEvacuate();

} // namespace cowslippin::testing
