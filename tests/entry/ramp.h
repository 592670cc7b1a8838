#pragma once

#include "libcore/clock.h"

#include <algorithm>

namespace cowslippin::testing {

/// A delay that rises linearly to `peak` within `rise`, stays there for `hold`,
/// and falls four times as fast as it rose.
class Ramp
{
public:
  struct Shape
  {
    Duration peak = Duration::zero();
    Duration rise = std::chrono::seconds(1);
    Duration hold = Duration::zero();
  };

  Ramp() = default;
  Ramp(Shape shape, TimePoint start)
    : m_shape(shape)
    , m_start(start)
  {
  }

  Duration at(TimePoint now) const
  {
    const Duration fallsAfter = m_shape.rise + m_shape.hold;
    const Duration since = now - m_start;
    const Duration rising = std::min(since, m_shape.rise);
    const Duration falling = std::max(since - fallsAfter, Duration::zero()) * 4;
    const Duration level = rising - falling;
    if (level <= Duration::zero())
      return Duration::zero();
    return m_shape.peak * level.count() / m_shape.rise.count();
  }

private:
  Shape m_shape;
  TimePoint m_start{};
};

} // namespace cowslippin::testing
