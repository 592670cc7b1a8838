#pragma once

#include <string>
#include <utility>

namespace cowslippin {

/// A setting's text and where it came from.
class SettingSource
{
public:
  /// `name` is the setting's, `givenAs` the flag or variable it came from.
  SettingSource(std::string name, std::string givenAs, std::string text)
    : m_name(std::move(name))
    , m_givenAs(std::move(givenAs))
    , m_text(std::move(text))
  {
  }

  const std::string& name() const { return m_name; }
  const std::string& givenAs() const { return m_givenAs; }
  const std::string& text() const { return m_text; }

  friend bool operator==(const SettingSource& a, const SettingSource& b)
  {
    return a.m_name == b.m_name && a.m_givenAs == b.m_givenAs &&
           a.m_text == b.m_text;
  }
  friend bool operator!=(const SettingSource& a, const SettingSource& b)
  {
    return !(a == b);
  }

private:
  std::string m_name;
  std::string m_givenAs;
  std::string m_text;
};

} // namespace cowslippin
