#pragma once

#include "exitcode.h"

#include <string>

namespace cowslippin {

/// What a command prints and how the program ends.
struct Report
{
  std::string out;
  std::string err;
  ExitCode exitCode = ExitCode::Ok;
};

} // namespace cowslippin
