#pragma once

#include "libcore/clock.h"

#include <optional>

namespace cowslippin {

/// The share of arriving work that a daemon admits, from the lag of its event
/// loop: it falls by a factor while the loop is too late, and rises by a fixed
/// amount per second while it isn't. Does no I/O and reads no clock.
class AdmittedShare
{
public:
  struct Settings
  {
    /// Below this lag the share rises, see "Overload control" in
    /// docs/design/hard-load.md.
    Duration targetLag = std::chrono::milliseconds(40);
    /// Above this lag the share falls.
    Duration maxLag = std::chrono::milliseconds(80);
    /// The share falls by the ratio of `maxLag` to the lag, but by no more and
    /// no less than these factors at once.
    double strongestDecrease = 0.5;
    double weakestDecrease = 0.85;
    /// The share falls no more often than this, nor before a job that arrived
    /// after the last decrease can have been read.
    Duration minDecreaseInterval = std::chrono::milliseconds(100);
    /// From a tenth to 1 it takes 2.25 s. With the time in which the mean lag
    /// falls below the target, that is less than 3 s.
    double increasePerSecond = 0.4;
    /// Lower bound of the share.
    double minShare = 0.1;
  };

  explicit AdmittedShare(Settings settings)
    : m_settings(settings)
  {
  }

  /// To be called at each tick with the mean lag of the event loop.
  void tick(Duration lag, TimePoint now);
  /// Returns to 1.
  void reset();

  double value() const { return m_value; }
  bool isLimiting() const { return m_value < 1; }
  /// Time until the share is 1 if the loop is in time from now on.
  Duration timeToFull() const;
  const Settings& settings() const { return m_settings; }

private:
  void decrease(Duration lag, TimePoint now);

  const Settings m_settings;
  double m_value = 1;
  std::optional<TimePoint> m_lastTickAt;
  TimePoint m_decreasedAt{};
};

} // namespace cowslippin
