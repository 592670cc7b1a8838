#pragma once

#include "libcore/name.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace cowslippin {

/// A named, typed value in a log record.
class LogField
{
public:
  using Value =
    std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

  LogField(std::string_view name, std::string value)
    : m_name(name)
    , m_value(std::move(value))
  {
  }

  LogField(std::string_view name, std::string_view value)
    : LogField(name, std::string(value))
  {
  }

  LogField(std::string_view name, const char* value)
    : LogField(name, std::string(value))
  {
  }

  template<class Tag>
  LogField(std::string_view name, const Name<Tag>& value)
    : LogField(name, value.value())
  {
  }

  /// A bool, an integer of any width or a floating-point number. A number
  /// that is not finite is written as null.
  template<class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view name, T value)
    : m_name(name)
    , m_value(widen(value))
  {
  }

  const std::string& name() const { return m_name; }
  const Value& value() const { return m_value; }

  friend bool operator==(const LogField& a, const LogField& b)
  {
    return a.m_name == b.m_name && a.m_value == b.m_value;
  }
  friend bool operator!=(const LogField& a, const LogField& b)
  {
    return !(a == b);
  }

private:
  template<class T>
  static Value widen(T value)
  {
    if constexpr (std::is_same_v<T, bool>) {
      return value;
    } else if constexpr (std::is_floating_point_v<T>) {
      return static_cast<double>(value);
    } else if constexpr (std::is_signed_v<T>) {
      return static_cast<std::int64_t>(value);
    } else {
      return static_cast<std::uint64_t>(value);
    }
  }

  std::string m_name;
  Value m_value;
};

} // namespace cowslippin
