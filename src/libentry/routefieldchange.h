#pragma once

#include "routevalue.h"

#include <string>
#include <utility>

namespace cowslippin {

/// A field of a route that has another value than in the configuration in
/// force.
class RouteFieldChange
{
public:
  RouteFieldChange(std::string field, RouteValue before, RouteValue after)
    : m_field(std::move(field))
    , m_before(std::move(before))
    , m_after(std::move(after))
  {
  }

  /// The field's name in a configuration.
  const std::string& field() const { return m_field; }
  const RouteValue& before() const { return m_before; }
  const RouteValue& after() const { return m_after; }

  friend bool operator==(const RouteFieldChange& a, const RouteFieldChange& b)
  {
    return a.m_field == b.m_field && a.m_before == b.m_before &&
           a.m_after == b.m_after;
  }
  friend bool operator!=(const RouteFieldChange& a, const RouteFieldChange& b)
  {
    return !(a == b);
  }

private:
  std::string m_field;
  RouteValue m_before;
  RouteValue m_after;
};

} // namespace cowslippin
