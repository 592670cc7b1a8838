#pragma once

#include "libcore/clock.h"

#include <algorithm>

namespace cowslippin {

/// Tells when a connection to another daemon has been silent for too long. It
/// reads no clock.
///
/// A peer tells with each heartbeat within what time the next one comes. One
/// with which this daemon has jobs in common is held to the short interval,
/// from the moment on in which the first of them was handed over.
class SilenceWatch
{
public:
  struct Settings
  {
    /// Three heartbeats at the short interval are sent in that time. It is
    /// part of the sum that ends runs before a caller submits again.
    Duration closeLimit = std::chrono::milliseconds(450);
    /// How late a heartbeat may come: as late as at the short interval.
    Duration lateness = std::chrono::milliseconds(310);
  };

  SilenceWatch() = default;
  explicit SilenceWatch(TimePoint now)
    : m_lastHeard(now)
  {
  }

  void heard(TimePoint now) { m_lastHeard = now; }
  void promised(Duration nextWithin) { m_nextWithin = nextWithin; }
  void setClose(bool isClose, TimePoint now)
  {
    if (isClose && !m_isClose)
      m_closeSince = now;
    m_isClose = isClose;
  }

  bool isClose() const { return m_isClose; }

  bool isSilent(const Settings& settings, TimePoint now) const
  {
    if (m_isClose)
      return now - std::max(m_lastHeard, m_closeSince) > settings.closeLimit;
    const Duration limit =
      std::max(settings.closeLimit, m_nextWithin + settings.lateness);
    return now - m_lastHeard > limit;
  }

private:
  TimePoint m_lastHeard{};
  Duration m_nextWithin = Duration::zero();
  bool m_isClose = false;
  TimePoint m_closeSince{};
};

} // namespace cowslippin
