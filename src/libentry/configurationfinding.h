#pragma once

#include <string>
#include <utility>

namespace cowslippin {

/// A fault in a configuration, and where it is.
class ConfigurationFinding
{
public:
  ConfigurationFinding(std::string field, std::string message)
    : m_field(std::move(field))
    , m_message(std::move(message))
  {
  }

  /// The path of the field or the route, such as `routes[3].timeout_ms`, or
  /// `configuration` if the fault is in the whole text.
  const std::string& field() const { return m_field; }
  /// A sentence that names the field. Values in it are cut, but may contain
  /// control characters.
  const std::string& message() const { return m_message; }

  friend bool operator==(const ConfigurationFinding& a,
                         const ConfigurationFinding& b)
  {
    return a.m_field == b.m_field && a.m_message == b.m_message;
  }
  friend bool operator!=(const ConfigurationFinding& a,
                         const ConfigurationFinding& b)
  {
    return !(a == b);
  }

private:
  std::string m_field;
  std::string m_message;
};

} // namespace cowslippin
