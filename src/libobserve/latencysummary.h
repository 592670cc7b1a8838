#pragma once

#include "libcore/clock.h"

#include <cstdint>

namespace cowslippin {

/// What a latency recorder has seen, in microseconds; all 0 when nothing.
class LatencySummary
{
public:
  struct Fields
  {
    std::uint64_t count = 0;
    Duration mean{ 0 };
    Duration median{ 0 };
    /// The 99th percentile.
    Duration p99{ 0 };
    Duration max{ 0 };
  };

  LatencySummary() = default;
  explicit LatencySummary(const Fields& fields)
    : m_fields(fields)
  {
  }

  std::uint64_t count() const { return m_fields.count; }
  Duration mean() const { return m_fields.mean; }
  Duration median() const { return m_fields.median; }
  Duration p99() const { return m_fields.p99; }
  Duration max() const { return m_fields.max; }

  friend bool operator==(const LatencySummary& a, const LatencySummary& b)
  {
    return a.count() == b.count() && a.mean() == b.mean() &&
           a.median() == b.median() && a.p99() == b.p99() && a.max() == b.max();
  }
  friend bool operator!=(const LatencySummary& a, const LatencySummary& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
