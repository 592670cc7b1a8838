#pragma once

#include "simulation.h"

namespace cowslippin {

/// A named situation that the decisions are measured in.
struct RulerCase
{
  std::string name;
  std::function<void(Simulation&)> arrange;
};

/// The table of cases.
std::vector<RulerCase>
rulerCases();

} // namespace cowslippin
