#pragma once

#include "libcore/clock.h"

#include <optional>

namespace cowslippin {

/// Detects CPU starvation: tells by the lateness of its ticks whether this
/// process gets too little processor time for its work.
class CpuStarvationDetector
{
public:
  struct Settings
  {
    /// Time between two ticks.
    Duration tickInterval = std::chrono::milliseconds(20);
    /// The process counts as CPU-starved when the mean lateness of ticks rises
    /// above the first value, until the mean falls to the second one. For
    /// comparison, the silence limit between daemons is 450 ms, and a heartbeat
    /// is sent every 140 ms.
    Duration starvedLateness = std::chrono::milliseconds(60);
    Duration recoveryLateness = std::chrono::milliseconds(15);
  };

  explicit CpuStarvationDetector(Settings settings);

  /// To be called at each tick. Returns true if `isCpuStarved` has changed.
  bool tick(TimePoint now);

  bool isCpuStarved() const { return m_isCpuStarved; }

  /// Exponential moving average of how late the ticks come.
  Duration lateness() const { return m_lateness; }

private:
  const Settings m_settings;
  std::optional<TimePoint> m_lastTickAt;
  Duration m_lateness = Duration::zero();
  bool m_isCpuStarved = false;
};

} // namespace cowslippin
