#pragma once

#include "libcore/core.h"

namespace cowslippin::testing {

/// Listens on a loopback port that the kernel chooses; returns the socket,
/// which the caller closes.
int
listenOnLoopback(int backlog);

/// The address that a socket is bound to.
Address
boundAddress(int socket);

} // namespace cowslippin::testing
