#pragma once

#include <functional>
#include <string>
#include <utility>

namespace cowslippin {

/// A string that identifies one kind of thing. Names of different kinds do
/// not mix: the tag makes each its own type. An empty name identifies nothing.
template<class Tag>
class Name
{
public:
  Name() = default;

  explicit Name(std::string value)
    : m_value(std::move(value))
  {
  }

  const std::string& value() const { return m_value; }
  bool isEmpty() const { return m_value.empty(); }

  friend bool operator==(const Name& a, const Name& b)
  {
    return a.m_value == b.m_value;
  }
  friend bool operator!=(const Name& a, const Name& b) { return !(a == b); }
  friend bool operator<(const Name& a, const Name& b)
  {
    return a.m_value < b.m_value;
  }

private:
  std::string m_value;
};

} // namespace cowslippin

template<class Tag>
struct std::hash<cowslippin::Name<Tag>>
{
  std::size_t operator()(const cowslippin::Name<Tag>& name) const noexcept
  {
    return std::hash<std::string>()(name.value());
  }
};
