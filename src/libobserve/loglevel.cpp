#include "loglevel.h"

#include <array>

namespace cowslippin {

namespace {

constexpr std::array<LogLevel, 4> allLogLevels = { LogLevel::Debug,
                                                   LogLevel::Info,
                                                   LogLevel::Warning,
                                                   LogLevel::Error };

} // namespace

std::string_view
toString(LogLevel level)
{
  switch (level) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

std::optional<LogLevel>
logLevelFromString(std::string_view text)
{
  for (LogLevel level : allLogLevels) {
    if (toString(level) == text) {
      return level;
    }
  }
  return std::nullopt;
}

} // namespace cowslippin
