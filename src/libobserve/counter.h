#pragma once

#include <atomic>
#include <cstdint>

namespace cowslippin {

/// Counts occurrences since the process started. Adding is one relaxed atomic
/// addition on a cache line of the counter's own.
class alignas(64) Counter
{
public:
  void add(std::uint64_t amount = 1)
  {
    m_value.fetch_add(amount, std::memory_order_relaxed);
  }

  std::uint64_t value() const
  {
    return m_value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> m_value{ 0 };
};

} // namespace cowslippin
