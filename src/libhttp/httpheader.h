#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// A header field of an HTTP message.
class HttpHeader
{
public:
  HttpHeader(std::string name, std::string value);

  const std::string& name() const { return m_name; }
  const std::string& value() const { return m_value; }

  /// Whether `name` is this field's name; upper and lower case are the same.
  bool isNamed(std::string_view name) const;

  friend bool operator==(const HttpHeader& a, const HttpHeader& b)
  {
    return a.m_name == b.m_name && a.m_value == b.m_value;
  }
  friend bool operator!=(const HttpHeader& a, const HttpHeader& b)
  {
    return !(a == b);
  }

private:
  std::string m_name;
  std::string m_value;
};

/// The header fields of a message in the order they were given.
using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header field called `name`, or nothing.
std::optional<std::string>
findHeader(const HttpHeaders& headers, std::string_view name);

} // namespace cowslippin
