#pragma once

#include "libcore/clock.h"

#include <algorithm>

namespace cowslippin {

/// Detects that a connection to another daemon has been silent for too long.
/// The class reads no clock.
///
/// Each heartbeat of a peer announces within what time the next one follows. A
/// peer that shares jobs with this daemon is held to the short interval
/// instead, from the moment the first of these jobs is handed over.
class SilenceDetector
{
public:
  struct Settings
  {
    /// Silence limit of a peer that shares jobs with this daemon. Three
    /// heartbeats at the short interval are sent in that time. The limit is
    /// part of the sum that ends runs before a caller submits again.
    Duration sharedJobsLimit = std::chrono::milliseconds(450);
    /// How late an announced heartbeat may be received: as late as at the short
    /// interval.
    Duration maxHeartbeatDelay = std::chrono::milliseconds(310);
  };

  SilenceDetector() = default;
  explicit SilenceDetector(TimePoint now)
    : m_lastReceivedAt(now)
  {
  }

  void messageReceived(TimePoint now) { m_lastReceivedAt = now; }
  void setNextHeartbeatWithin(Duration nextWithin)
  {
    m_nextHeartbeatWithin = nextWithin;
  }
  void setSharesJobs(bool isClose, TimePoint now)
  {
    if (isClose && !m_sharesJobs)
      m_sharesJobsSince = now;
    m_sharesJobs = isClose;
  }

  bool sharesJobs() const { return m_sharesJobs; }
  TimePoint lastReceivedAt() const { return m_lastReceivedAt; }

  bool isSilent(const Settings& settings, TimePoint now) const
  {
    if (m_sharesJobs)
      return now - std::max(m_lastReceivedAt, m_sharesJobsSince) >
             settings.sharedJobsLimit;
    const Duration limit =
      std::max(settings.sharedJobsLimit,
               m_nextHeartbeatWithin + settings.maxHeartbeatDelay);
    return now - m_lastReceivedAt > limit;
  }

private:
  TimePoint m_lastReceivedAt{};
  Duration m_nextHeartbeatWithin = Duration::zero();
  bool m_sharesJobs = false;
  TimePoint m_sharesJobsSince{};
};

} // namespace cowslippin
