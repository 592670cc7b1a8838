#pragma once

#include "standinexchange.h"

#include "libcore/core.h"

#include <functional>

namespace cowslippin::standins {

/// Answers one request. Called from one thread a request, many at once.
using StandinHandler = std::function<void(StandinExchange&)>;

/// Serves HTTP at `listen` until the process gets SIGTERM or SIGINT, which
/// ends it at once. Prints `listening ADDRESS` on standard output once it is
/// ready. To be called from a program's main thread before it starts others.
void
serveStandin(const Address& listen, const StandinHandler& handler);

} // namespace cowslippin::standins
