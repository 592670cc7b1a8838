#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// Identifies one change of the configuration. Its author makes it up at
/// random and keeps it when the change is appended again.
using RecordId = Name<struct RecordTag>;

} // namespace cowslippin
