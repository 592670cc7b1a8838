#pragma once

#include "libcore/clock.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace cowslippin {

/// Collects log lines that are written together, as each write costs a system
/// call and wakes the logger's thread. Not thread-safe.
class LogLineBuffer
{
public:
  /// Lines are due once they take this many bytes: about a hundred lines.
  static constexpr std::size_t maxBytes = std::size_t(16) << 10;
  /// Lines are due once the oldest has waited this long. A process that is
  /// killed loses the lines that wait.
  static constexpr Duration maxAge = std::chrono::milliseconds(100);

  /// Adds a line, which must not contain a newline.
  void add(std::string_view line, TimePoint now)
  {
    if (m_text.empty())
      m_oldestAt = now;
    m_text += line;
    m_text += '\n';
  }

  /// Whether the lines are to be written now.
  bool isDue(TimePoint now) const
  {
    return m_text.size() >= maxBytes ||
           (!isEmpty() && now - m_oldestAt >= maxAge);
  }

  bool isEmpty() const { return m_text.empty(); }
  /// The lines, each with a newline.
  const std::string& text() const { return m_text; }
  /// Removes the lines and keeps their memory for the next ones.
  void clear() { m_text.clear(); }

private:
  std::string m_text;
  TimePoint m_oldestAt{};
};

} // namespace cowslippin
