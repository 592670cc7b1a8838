#pragma once

#include "command.h"
#include "report.h"
#include "transport.h"

#include <functional>
#include <ostream>

namespace cowslippin {

/// What running a command depends on.
struct RunHooks
{
  Transport transport;
  /// Makes up an idempotency key that nobody else uses.
  std::function<std::string()> makeKey;
};

/// Carries out a command and prints what comes of it. A key that is made up
/// is printed to `err` before the submission is sent.
ExitCode
runCommand(const Command& command,
           const RunHooks& hooks,
           std::ostream& out,
           std::ostream& err);

/// A random key of 128 bits.
std::string
randomKey();

} // namespace cowslippin
