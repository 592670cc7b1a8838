#pragma once

#include "logfield.h"
#include "loglevel.h"

#include <chrono>
#include <ctime>
#include <initializer_list>
#include <string>

namespace cowslippin {

/// Formats log lines. Keeps the text of the current second, as most lines are
/// written in the same second as the one before. Not thread-safe.
class LogLineFormatter
{
public:
  /// Appends a line without its newline: a JSON object with `time`, `level`,
  /// `event` and the fields in their order. A field that is called like an
  /// earlier member is left out, and texts are bounded by `maxLogTextBytes`.
  void append(std::string& text,
              std::chrono::system_clock::time_point time,
              LogLevel level,
              const char* event,
              std::initializer_list<LogField> fields);

private:
  void appendTime(std::string& text,
                  std::chrono::system_clock::time_point time);

  std::time_t m_second = 0;
  /// The text of `m_second`; empty before the first line.
  std::string m_secondText;
};

} // namespace cowslippin
