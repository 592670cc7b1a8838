#pragma once

#include <cstdint>
#include <optional>

namespace cowslippin {

/// When the current incarnation of a worker booted, by the worker's time of
/// day. A worker that restarts keeps its id and has another boot time. The boot
/// time is unknown for workers that don't report one.
class WorkerBootTime
{
public:
  WorkerBootTime() = default;
  /// In milliseconds since 1970.
  explicit WorkerBootTime(std::int64_t milliseconds)
    : m_milliseconds(milliseconds)
  {
  }

  bool isKnown() const { return m_milliseconds.has_value(); }

  friend bool operator==(const WorkerBootTime& a, const WorkerBootTime& b)
  {
    return a.m_milliseconds == b.m_milliseconds;
  }
  friend bool operator!=(const WorkerBootTime& a, const WorkerBootTime& b)
  {
    return !(a == b);
  }
  /// An unknown boot time is less than any other.
  friend bool operator<(const WorkerBootTime& a, const WorkerBootTime& b)
  {
    return a.m_milliseconds < b.m_milliseconds;
  }

private:
  std::optional<std::int64_t> m_milliseconds;
};

} // namespace cowslippin
