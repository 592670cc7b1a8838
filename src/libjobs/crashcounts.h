#pragma once

#include "libcore/ids.h"

#include <map>

namespace cowslippin {

/// Number of workers that were lost during a run of each task, for tasks with
/// at least one such loss. The counts pass with the tasks from one holder to
/// the next.
using CrashCounts = std::map<TaskIndex, unsigned>;

} // namespace cowslippin
