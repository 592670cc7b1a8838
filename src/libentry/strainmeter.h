#pragma once

#include "libcore/clock.h"

#include <optional>

namespace cowslippin {

/// Tells by the lateness of its ticks whether this process gets too little
/// processor time for what it does.
class StrainMeter
{
public:
  struct Settings
  {
    /// Time between two ticks.
    Duration tickInterval = std::chrono::milliseconds(20);
    /// Mean lateness of ticks from which the process is strained, and below
    /// which it no longer is. The silence limit between daemons is 450 ms,
    /// heartbeats come each 140 ms.
    Duration strainLateness = std::chrono::milliseconds(60);
    Duration calmLateness = std::chrono::milliseconds(15);
  };

  explicit StrainMeter(Settings settings);

  /// To be called at each tick. True if `isStrained` has changed.
  bool ticked(TimePoint now);

  bool isStrained() const { return m_isStrained; }

  /// Moving mean of how late the ticks come.
  Duration lateness() const { return m_lateness; }

private:
  const Settings m_settings;
  std::optional<TimePoint> m_lastTickAt;
  Duration m_lateness = Duration::zero();
  bool m_isStrained = false;
};

} // namespace cowslippin
