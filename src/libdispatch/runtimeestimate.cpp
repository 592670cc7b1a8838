#include "runtimeestimate.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

void
RunTimeEstimate::record(Duration runTime)
{
  m_samples = std::min(m_samples + 1, longestMemory);
  // The declared time weighs as much as one run.
  const double part = 1.0 / (m_samples + 1);
  const double difference = static_cast<double>(runTime.count()) - m_mean;
  m_deviation += part * (std::abs(difference) - m_deviation);
  m_mean += part * difference;
}

Duration
RunTimeEstimate::margin() const
{
  return Duration(static_cast<long long>(deviationsAbove * m_deviation));
}

} // namespace cowslippin
