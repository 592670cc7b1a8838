#include "runtimeestimate.h"

#include <algorithm>

namespace cowslippin {

void
RunTimeEstimate::record(Duration runTime)
{
  m_samples = std::min(m_samples + 1, longestMemory);
  // The declared time weighs as much as one run.
  const double part = 1.0 / (m_samples + 1);
  m_mean += part * (static_cast<double>(runTime.count()) - m_mean);
}

} // namespace cowslippin
