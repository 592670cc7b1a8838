#pragma once

#include <string>
#include <utility>

namespace cowslippin {

/// A header of a request to a daemon.
class HttpCallHeader
{
public:
  HttpCallHeader(std::string name, std::string value)
    : m_name(std::move(name))
    , m_value(std::move(value))
  {
  }

  const std::string& name() const { return m_name; }
  const std::string& value() const { return m_value; }

  friend bool operator==(const HttpCallHeader& a, const HttpCallHeader& b)
  {
    return a.m_name == b.m_name && a.m_value == b.m_value;
  }
  friend bool operator!=(const HttpCallHeader& a, const HttpCallHeader& b)
  {
    return !(a == b);
  }

private:
  std::string m_name;
  std::string m_value;
};

} // namespace cowslippin
