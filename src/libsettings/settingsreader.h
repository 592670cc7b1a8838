#pragma once

#include "daemonsettings.h"

#include <string>
#include <variant>
#include <vector>

namespace cowslippin {

/// Every setting that is missing or not allowed. A problem's field is the
/// setting as it was given: `--zone` or `COWSLIPPIN_ZONE`. Its detail is a
/// sentence for the terminal.
using SettingsProblems = std::vector<Problem>;

/// What `--help` prints.
class HelpText
{
public:
  explicit HelpText(std::string text)
    : m_text(std::move(text))
  {
  }

  const std::string& text() const { return m_text; }

  friend bool operator==(const HelpText& a, const HelpText& b)
  {
    return a.m_text == b.m_text;
  }
  friend bool operator!=(const HelpText& a, const HelpText& b)
  {
    return !(a == b);
  }

private:
  std::string m_text;
};

/// Settings to run with, everything wrong with them, or a request for help.
using SettingsOutcome =
  std::variant<DaemonSettings, SettingsProblems, HelpText>;

/// Reads a daemon's settings. `arguments` are the command line's without the
/// program's name, `environment` are strings `NAME=value`. A flag such as
/// `--http-listen` goes before its variable `COWSLIPPIN_HTTP_LISTEN`. Unknown
/// flags are problems, and so are unknown variables with that prefix other
/// than `COWSLIPPIN_DAEMON`, which is the command-line client's.
SettingsOutcome
readDaemonSettings(const std::vector<std::string>& arguments,
                   const std::vector<std::string>& environment);

/// The process's environment as strings `NAME=value`.
std::vector<std::string>
processEnvironment();

} // namespace cowslippin
