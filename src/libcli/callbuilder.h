#pragma once

#include "command.h"
#include "httpcall.h"

namespace cowslippin {

/// The call that carries out a command. A submission must have its key.
HttpCall
buildCall(const Command& command);

/// The call that lists VMs and endpoints.
HttpCall
vmsCall();

/// The call that asks for the configuration in force.
HttpCall
configCall();

} // namespace cowslippin
