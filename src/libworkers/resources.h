#pragma once

#include <algorithm>
#include <cstdint>

namespace cowslippin {

/// Resources that a task needs or a worker has.
class Resources
{
public:
  Resources() = default;
  Resources(std::int64_t cpuMillis,
            std::int64_t memoryMb,
            std::int64_t accelerators)
    : m_cpuMillis(cpuMillis)
    , m_memoryMb(memoryMb)
    , m_accelerators(accelerators)
  {
  }

  /// Thousandths of a core.
  std::int64_t cpuMillis() const { return m_cpuMillis; }
  std::int64_t memoryMb() const { return m_memoryMb; }
  std::int64_t accelerators() const { return m_accelerators; }

  /// Whether no component exceeds that of `room`.
  bool fitsIn(const Resources& room) const
  {
    return m_cpuMillis <= room.m_cpuMillis && m_memoryMb <= room.m_memoryMb &&
           m_accelerators <= room.m_accelerators;
  }

  Resources operator+(const Resources& other) const
  {
    return { m_cpuMillis + other.m_cpuMillis,
             m_memoryMb + other.m_memoryMb,
             m_accelerators + other.m_accelerators };
  }
  Resources operator-(const Resources& other) const
  {
    return { m_cpuMillis - other.m_cpuMillis,
             m_memoryMb - other.m_memoryMb,
             m_accelerators - other.m_accelerators };
  }

  friend bool operator==(const Resources& a, const Resources& b)
  {
    return a.m_cpuMillis == b.m_cpuMillis && a.m_memoryMb == b.m_memoryMb &&
           a.m_accelerators == b.m_accelerators;
  }
  friend bool operator!=(const Resources& a, const Resources& b)
  {
    return !(a == b);
  }

  /// The component-wise maximum.
  friend Resources componentwiseMax(const Resources& a, const Resources& b)
  {
    return { std::max(a.m_cpuMillis, b.m_cpuMillis),
             std::max(a.m_memoryMb, b.m_memoryMb),
             std::max(a.m_accelerators, b.m_accelerators) };
  }

private:
  std::int64_t m_cpuMillis = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;
};

} // namespace cowslippin
