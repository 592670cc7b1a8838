#pragma once

#include "ids.h"

#include <string>
#include <tuple>
#include <utility>

namespace cowslippin {

/// A part of an availability zone's workers that one daemon holds as a whole.
class ShardId
{
public:
  ShardId() = default;
  ShardId(ZoneName zone, unsigned index)
    : m_zone(std::move(zone))
    , m_index(index)
  {
  }

  const ZoneName& zone() const { return m_zone; }
  unsigned index() const { return m_index; }
  std::string toString() const
  {
    return m_zone.value() + '/' + std::to_string(m_index);
  }

  friend bool operator==(const ShardId& a, const ShardId& b)
  {
    return a.m_index == b.m_index && a.m_zone == b.m_zone;
  }
  friend bool operator!=(const ShardId& a, const ShardId& b)
  {
    return !(a == b);
  }
  friend bool operator<(const ShardId& a, const ShardId& b)
  {
    return std::tie(a.m_zone, a.m_index) < std::tie(b.m_zone, b.m_index);
  }

private:
  ZoneName m_zone;
  unsigned m_index = 0;
};

} // namespace cowslippin
