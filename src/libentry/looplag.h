#pragma once

#include "libcore/clock.h"

#include <optional>

namespace cowslippin {

/// Measures how late the event loop is, from the times of its ticks. Does no
/// I/O and reads no clock.
class LoopLag
{
public:
  struct Settings
  {
    /// Time between two ticks of a loop that isn't late.
    Duration tickInterval = std::chrono::milliseconds(20);
    /// Time constant of `mean`. A single turn that is 100 ms late raises the
    /// mean to 55 ms; several of them, or one of 500 ms, to their own lag.
    Duration meanTime = std::chrono::milliseconds(150);
    /// Time constant with which `recentPeak` falls. A loop that is late is so
    /// for several turns, and an order is answered in a later turn.
    Duration peakTime = std::chrono::milliseconds(300);
  };

  explicit LoopLag(Settings settings)
    : m_settings(settings)
  {
  }

  /// To be called at each tick.
  void tick(TimePoint now);
  /// Forgets all ticks, after a pause of the process, which isn't lag.
  void reset() { *this = LoopLag(m_settings); }

  /// Exponential moving average of the lag, weighted by time.
  Duration mean() const { return m_mean; }
  /// The largest lag in the recent past, decaying exponentially.
  Duration recentPeak() const { return m_recentPeak; }

private:
  Settings m_settings;
  std::optional<TimePoint> m_lastTickAt;
  Duration m_mean = Duration::zero();
  Duration m_recentPeak = Duration::zero();
};

} // namespace cowslippin
