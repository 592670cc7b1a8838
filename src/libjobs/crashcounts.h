#pragma once

#include "libcore/ids.h"

#include <map>

namespace cowslippin {

/// How many workers have been lost with a run of each task, of those that have
/// lost any. It goes with the tasks from one holder to the next.
using CrashCounts = std::map<TaskIndex, unsigned>;

} // namespace cowslippin
