#pragma once

#include <optional>
#include <string_view>

namespace cowslippin {

/// How much a log record matters, in rising order.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// The level's word in log lines and settings: `debug`, `info`, `warning` or
/// `error`.
std::string_view
toString(LogLevel level);

/// The level that `text` names, or nothing.
std::optional<LogLevel>
logLevelFromString(std::string_view text);

} // namespace cowslippin
