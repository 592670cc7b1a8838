#pragma once

#include "simulation.h"

#include <functional>
#include <vector>

namespace cowslippin::testing {

/// A kind of trouble, brought about by `strike` every second and a half.
struct Trouble
{
  const char* name;
  std::function<void(Simulation&)> strike;
  Simulation::Settings settings = {};
};

/// Seeds name them by their index.
std::vector<Trouble>
troubles();

/// A third of the workers is taken away at once, with room enough on the rest.
Simulation::Settings
withRoomToEvacuate();

} // namespace cowslippin::testing
