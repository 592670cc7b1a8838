#pragma once

#include "ids.h"

#include <string>
#include <tuple>
#include <utility>

namespace cowslippin {

/// A part of an availability zone's workers that one daemon holds as a whole.
/// Shards of different divisions of a zone are never the same, though they may
/// have workers in common.
class ShardId
{
public:
  ShardId() = default;
  /// One of `count` into which the zone's workers are divided.
  ShardId(ZoneName zone, unsigned index, unsigned count = 1)
    : m_zone(std::move(zone))
    , m_index(index)
    , m_count(count)
  {
  }

  const ZoneName& zone() const { return m_zone; }
  unsigned index() const { return m_index; }
  unsigned count() const { return m_count; }
  std::string toString() const
  {
    return m_zone.value() + '/' + std::to_string(m_index) + "of" +
           std::to_string(m_count);
  }

  friend bool operator==(const ShardId& a, const ShardId& b)
  {
    return std::tie(a.m_zone, a.m_index, a.m_count) ==
           std::tie(b.m_zone, b.m_index, b.m_count);
  }
  friend bool operator!=(const ShardId& a, const ShardId& b)
  {
    return !(a == b);
  }
  friend bool operator<(const ShardId& a, const ShardId& b)
  {
    return std::tie(a.m_zone, a.m_index, a.m_count) <
           std::tie(b.m_zone, b.m_index, b.m_count);
  }

private:
  ZoneName m_zone;
  unsigned m_index = 0;
  unsigned m_count = 1;
};

} // namespace cowslippin
