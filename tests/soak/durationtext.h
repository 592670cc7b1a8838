#pragma once

#include "libcore/clock.h"

#include <chrono>
#include <string>

namespace cowslippin::testing {

/// A duration in whole milliseconds, as the notes on strikes end with it.
inline std::string
inMs(Duration time)
{
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time);
  return " ms " + std::to_string(ms.count());
}

} // namespace cowslippin::testing
