#include "looplag.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

/// How much of a value is left of it after this time.
double
remainingShare(Duration elapsed, Duration timeConstant)
{
  return std::exp(-double(elapsed.count()) / double(timeConstant.count()));
}

} // namespace

void
LoopLag::tick(TimePoint now)
{
  if (m_lastTickAt) {
    const Duration elapsed = now - *m_lastTickAt;
    const Duration lag =
      std::max(elapsed - m_settings.tickInterval, Duration::zero());
    const double kept = remainingShare(elapsed, m_settings.meanTime);
    m_mean = scaled(m_mean, kept) + scaled(lag, 1 - kept);
    m_recentPeak = std::max(
      lag, scaled(m_recentPeak, remainingShare(elapsed, m_settings.peakTime)));
  }
  m_lastTickAt = now;
}

} // namespace cowslippin
