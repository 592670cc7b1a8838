#pragma once

#include "commandkind.h"

#include <string>
#include <vector>

namespace cowslippin {

/// An option as the command line takes it.
struct OptionSpec
{
  /// Without the dashes.
  std::string name;
  /// What stands for its value in the help; empty when it takes none.
  std::string valueName;
  std::string help;
};

/// A command as the command line takes it: its words, operands and options.
struct CommandSpec
{
  CommandKind kind;
  std::vector<std::string> words;
  std::vector<std::string> operands;
  std::vector<OptionSpec> options;
  std::string summary;

  /// The words with spaces between them.
  std::string title() const;
};

/// Every command there is.
const std::vector<CommandSpec>&
commandSpecs();

/// The options that every command takes.
const std::vector<OptionSpec>&
globalOptionSpecs();

/// The help that lists all commands.
std::string
programHelp();

/// The help of one command.
std::string
commandHelp(const CommandSpec& spec);

} // namespace cowslippin
