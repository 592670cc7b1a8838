#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// Who calls the platform. Both names are sent with every request; an empty
/// one is left out.
struct ClientIdentity
{
  ZoneName zone;
  VmId vm;
};

} // namespace cowslippin
