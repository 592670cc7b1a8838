#include "runtimes.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Number of samples up to which the mean is exact; a moving mean from then on.
constexpr unsigned meanSamples = 100;
/// Limits a sample, so that one slow worker doesn't raise what is expected of
/// all.
constexpr double maxRatio = 3;
/// Estimate for tasks that have none, until some have run.
constexpr Duration defaultEstimate = std::chrono::milliseconds(100);

Duration
baseOf(Duration estimate)
{
  return estimate > Duration::zero() ? estimate : defaultEstimate;
}

} // namespace

void
RunTimes::record(const std::string& queue, Duration estimate, Duration actual)
{
  const Duration base = baseOf(estimate);
  const double ratio =
    std::min(double(actual.count()) / double(base.count()), maxRatio);
  Entry& entry = m_entries[queue];
  entry.samples = std::min(entry.samples + 1, meanSamples);
  entry.ratio += (ratio - entry.ratio) / entry.samples;
}

Duration
RunTimes::expected(const std::string& queue, Duration estimate) const
{
  const Duration base = baseOf(estimate);
  const auto found = m_entries.find(queue);
  if (found == m_entries.end())
    return base;
  return Duration(std::int64_t(double(base.count()) * found->second.ratio));
}

} // namespace cowslippin
