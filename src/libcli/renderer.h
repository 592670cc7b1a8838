#pragma once

#include "command.h"
#include "offsetlist.h"
#include "report.h"
#include "transport.h"

namespace cowslippin {

/// Renders the end of a command's call and chooses the exit code.
Report
renderEnd(const Command& command, const CallEnd& end);

/// Renders the offsets that were asked of every daemon.
Report
renderOffsets(const Command& command, const std::vector<DaemonOffset>& offsets);

/// Renders a problem: its title, its detail, whether anything ran and when to
/// come back.
std::string
renderProblem(const Problem& problem);

/// The exit code that a problem ends the program with.
ExitCode
exitCodeOf(const Problem& problem);

/// Renders everything that is wrong with a command line.
Report
renderUsage(const std::vector<Problem>& problems);

} // namespace cowslippin
