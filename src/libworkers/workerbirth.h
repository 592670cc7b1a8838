#pragma once

#include <cstdint>
#include <optional>

namespace cowslippin {

/// When the present life of a worker began, by its own clock of day. A worker
/// that starts again keeps its id and has another birth. Workers that don't
/// tell have an unknown one.
class WorkerBirth
{
public:
  WorkerBirth() = default;
  /// In milliseconds since 1970.
  explicit WorkerBirth(std::int64_t milliseconds)
    : m_milliseconds(milliseconds)
  {
  }

  bool isKnown() const { return m_milliseconds.has_value(); }

  friend bool operator==(const WorkerBirth& a, const WorkerBirth& b)
  {
    return a.m_milliseconds == b.m_milliseconds;
  }
  friend bool operator!=(const WorkerBirth& a, const WorkerBirth& b)
  {
    return !(a == b);
  }
  /// An unknown birth goes before any other.
  friend bool operator<(const WorkerBirth& a, const WorkerBirth& b)
  {
    return a.m_milliseconds < b.m_milliseconds;
  }

private:
  std::optional<std::int64_t> m_milliseconds;
};

} // namespace cowslippin
