#pragma once

#include <cstddef>
#include <string>

namespace cowslippin {

/// Ids for a log line, separated by spaces. Only the first are listed; all are
/// counted.
class IdList
{
public:
  void add(const std::string& id)
  {
    if (++m_count > mostListed)
      return;
    if (!m_text.empty())
      m_text += ' ';
    m_text += id;
  }

  const std::string& text() const { return m_text; }
  std::size_t count() const { return m_count; }

private:
  static constexpr std::size_t mostListed = 20;

  std::string m_text;
  std::size_t m_count = 0;
};

} // namespace cowslippin
