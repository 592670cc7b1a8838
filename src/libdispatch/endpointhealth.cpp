#include "endpointhealth.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

void
EndpointHealth::answered(double relativeTime)
{
  ++m_attempts;
  m_consecutiveFailures = 0;
  m_failureRatio *= 1.0 - failureSmoothing;
  recordSlowness(relativeTime);
}

void
EndpointHealth::failed(double relativeTime)
{
  ++m_attempts;
  ++m_consecutiveFailures;
  m_failureRatio += failureSmoothing * (1.0 - m_failureRatio);
  recordSlowness(std::max(relativeTime, failureSlowness));
}

bool
EndpointHealth::forgivesSilence(TimePoint startedAt, TimePoint now)
{
  if (!m_silenceNoticedAt) {
    m_silenceNoticedAt = now;
  }
  return startedAt <= *m_silenceNoticedAt;
}

void
EndpointHealth::answeredSilence(TimePoint startedAt)
{
  if (m_silenceNoticedAt && startedAt > *m_silenceNoticedAt) {
    m_silenceNoticedAt.reset();
  }
}

void
EndpointHealth::recordSlowness(double relativeTime)
{
  m_seenSinceForget = true;
  const double sample = std::min(relativeTime, slowestCounted);
  m_slowness += slownessSmoothing * (sample - m_slowness);
}

void
EndpointHealth::forget()
{
  if (!m_seenSinceForget) {
    m_slowness += forgetting * (1.0 - m_slowness);
  }
  m_seenSinceForget = false;
}

bool
EndpointHealth::isSuspect(const EjectionSettings& settings,
                          double othersRatio) const
{
  if (m_consecutiveFailures >= settings.consecutiveFailures &&
      std::pow(othersRatio, m_consecutiveFailures) < chanceTaken) {
    return true;
  }
  const double worseThanOthers = settings.failureRatioOverOthers * othersRatio;
  return m_attempts >= settings.minimumAttempts &&
         m_failureRatio > settings.failureRatio &&
         m_failureRatio > worseThanOthers;
}

void
EndpointHealth::eject(const EjectionSettings& settings, TimePoint now)
{
  m_ejected = true;
  m_probing = false;
  m_backoff = settings.firstBackoff;
  m_probeAt = now + m_backoff;
}

void
EndpointHealth::probeStarted()
{
  m_probing = true;
}

void
EndpointHealth::probeEnded(bool answered,
                           const EjectionSettings& settings,
                           TimePoint now)
{
  m_probing = false;
  if (answered) {
    m_ejected = false;
    m_attempts = 0;
    m_failureRatio = 0.0;
    m_slowness = 1.0;
    m_consecutiveFailures = 0;
    return;
  }
  m_backoff = std::min(m_backoff * 2, settings.longestBackoff);
  m_probeAt = now + m_backoff;
}

} // namespace cowslippin
