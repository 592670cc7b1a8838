#include "drainrate.h"

#include <algorithm>

namespace cowslippin {

void
DrainRate::started(TimePoint now, bool backlog)
{
  if (m_last) {
    const double gap = static_cast<double>((now - *m_last).count());
    m_samples = std::min(m_samples + 1, samplesToTrust);
    const double part = std::max(smoothing, 1.0 / m_samples);
    m_meanGap += part * (gap - m_meanGap);
  }
  m_last = now;
  if (!backlog) {
    // What is measured belongs to one backlog; the next may drain otherwise.
    m_last.reset();
    m_samples = 0;
  }
}

std::optional<double>
DrainRate::perSecond() const
{
  if (m_samples < samplesToTrust || m_meanGap <= 0.0) {
    return std::nullopt;
  }
  return 1e6 / m_meanGap;
}

} // namespace cowslippin
