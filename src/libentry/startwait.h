#pragma once

#include "libcore/clock.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

/// Estimates how long tasks wait for their start, from the rate of the starts
/// that are sent. Does no I/O and reads no clock.
///
/// A holder that is short of processor time sends fewer starts than its workers
/// could carry out: its event loop is late by no more than about 100 ms then,
/// while the tasks wait for seconds.
class StartWait
{
public:
  /// Time constant of the rate of starts.
  static constexpr Duration rateTime = std::chrono::milliseconds(500);
  /// Upper bound of the estimate, which is also used while nothing is started.
  static constexpr Duration maxWait = std::chrono::seconds(1);

  void taskStarted(TimePoint now)
  {
    m_starts = startsUntil(now) + 1;
    m_lastStartAt = now;
  }

  /// How long a task waits behind this many others.
  Duration expected(std::size_t waitingTasks, TimePoint now) const
  {
    if (waitingTasks == 0)
      return Duration::zero();
    const double perTask =
      double(rateTime.count()) / std::max(startsUntil(now), 1e-9);
    return Duration(static_cast<Duration::rep>(
      std::min(perTask * double(waitingTasks), double(maxWait.count()))));
  }

private:
  double startsUntil(TimePoint now) const
  {
    const double age = double((now - m_lastStartAt).count());
    return m_starts * std::exp(-age / double(rateTime.count()));
  }

  /// Exponentially decaying count of starts.
  double m_starts = 0;
  TimePoint m_lastStartAt{};
};

} // namespace cowslippin
