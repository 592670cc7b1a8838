#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace cowslippin {

/// All durations are counted in microseconds.
using Duration = std::chrono::microseconds;

/// A reading of the monotonic clock. It means nothing to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the time. Tests put a virtual clock in its place.
using Clock = std::function<TimePoint()>;

/// Whole milliseconds, rounded towards zero.
inline std::int64_t
toMilliseconds(Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
    .count();
}

/// Reads the machine's monotonic clock.
inline TimePoint
steadyNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

/// Returns the duration times `factor`, rounded towards zero.
inline Duration
scaled(Duration duration, double factor)
{
  return Duration(
    static_cast<Duration::rep>(double(duration.count()) * factor));
}

} // namespace cowslippin
