#include "cpustarvationdetector.h"

namespace cowslippin {

namespace {

/// Weight of the newest tick in the moving average, which thus spans some 300
/// ms.
constexpr double newestWeight = 0.07;

} // namespace

CpuStarvationDetector::CpuStarvationDetector(Settings settings)
  : m_settings(settings)
{
}

bool
CpuStarvationDetector::tick(TimePoint now)
{
  if (m_lastTickAt) {
    const Duration late = now - *m_lastTickAt - m_settings.tickInterval;
    const double mean = double(m_lateness.count()) * (1 - newestWeight) +
                        double(late.count()) * newestWeight;
    m_lateness = Duration(static_cast<Duration::rep>(mean));
  }
  m_lastTickAt = now;
  const bool wasCpuStarved = m_isCpuStarved;
  m_isCpuStarved = m_lateness > (wasCpuStarved ? m_settings.recoveryLateness
                                               : m_settings.starvedLateness);
  return m_isCpuStarved != wasCpuStarved;
}

} // namespace cowslippin
