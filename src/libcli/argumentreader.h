#pragma once

#include "commandspec.h"
#include "libcore/core.h"

#include <boost/program_options/variables_map.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace cowslippin {

/// What the command line depends on besides its arguments.
struct ParseHooks
{
  /// The value of an environment variable, or nothing.
  std::function<std::optional<std::string>(const std::string&)> environment;
  /// The content of a file, or nothing when it cannot be read. `-` stands for
  /// standard input.
  std::function<std::optional<std::string>(const std::string&)> readFile;
};

/// Reads the options and operands of one command and collects a problem for
/// each that is not allowed.
class ArgumentReader
{
public:
  /// `arguments` come without the command's words.
  ArgumentReader(const CommandSpec& spec,
                 const std::vector<std::string>& arguments,
                 const ParseHooks& hooks);

  /// The operand at `index`, which must be there.
  std::string operand(std::size_t index) const;

  bool has(const std::string& option) const;

  /// The option's value, or nothing.
  std::optional<std::string> text(const std::string& option) const;

  /// The option's value or, without it, the environment variable's.
  std::optional<std::string> text(const std::string& option,
                                  const std::string& variable) const;

  /// A whole number from `min` to `max` in `value`, which stands for `name`;
  /// `fallback` when there is none.
  std::int64_t number(const std::string& name,
                      const std::optional<std::string>& value,
                      std::int64_t fallback,
                      std::int64_t min,
                      std::int64_t max);

  /// The content of the file that the option names.
  std::string file(const std::string& option);

  /// The value of the one of two options that must be there: a file's name or
  /// the text itself.
  std::string fileOrText(const std::string& fileOption,
                         const std::string& textOption);

  /// Adds a problem that the reader cannot find by itself.
  void refuse(Problem problem);

  const std::vector<Problem>& problems() const { return m_problems; }

private:
  void parse(const std::vector<std::string>& arguments);
  void checkOperands();

  const CommandSpec& m_spec;
  const ParseHooks& m_hooks;
  boost::program_options::variables_map m_values;
  std::vector<std::string> m_operands;
  std::vector<Problem> m_problems;
};

} // namespace cowslippin
