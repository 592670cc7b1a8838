#pragma once

#include "argumentreader.h"
#include "command.h"

#include <variant>

namespace cowslippin {

/// The text that was asked for by `--help`.
struct HelpText
{
  std::string text;
};

/// Everything that is wrong with a command line.
struct UsageError
{
  std::vector<Problem> problems;
};

/// What a command line amounts to.
using CommandLineEnd = std::variant<Command, HelpText, UsageError>;

/// The largest number of tickets drawn at once.
constexpr int maxTickets = 100'000;

/// The largest number of tasks of a job.
constexpr int maxTasks = 2000;

/// Reads a command line; `arguments` come without the program's name. Every
/// bad argument is reported.
CommandLineEnd
parseCommandLine(const std::vector<std::string>& arguments,
                 const ParseHooks& hooks);

} // namespace cowslippin
