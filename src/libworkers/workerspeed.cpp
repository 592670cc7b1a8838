#include "workerspeed.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

/// Limits a sample: a few tasks take many times as long as their estimate on
/// any worker.
constexpr double maxRatio = 4;
/// Bounds of the speed compared with the usual.
constexpr double maxSpeed = 2.5;
/// Smaller numbers of samples don't show how far ratios vary.
constexpr unsigned minSamples = 8;
/// Logarithm of the ratio to the usual speed from which a worker differs.
const double minDifference = std::log(1.1);
/// Standard errors by which the difference must exceed that. The tasks of one
/// job share the error of their estimate, so that two are too few.
constexpr double confidence = 2.5;

} // namespace

void
WorkerSpeed::record(double ratio)
{
  if (!(ratio > 0))
    return;
  const double sample = std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
  m_samples = std::min(m_samples + 1, m_maxSamples);
  const double weight = 1.0 / m_samples;
  const double difference = sample - m_mean;
  m_mean += difference * weight;
  m_variance = (1 - weight) * (m_variance + difference * difference * weight);
}

SpeedClass
WorkerSpeed::classAgainst(const WorkerSpeed& usual) const
{
  if (m_samples < minSamples)
    return SpeedClass::Usual;
  const double difference = m_mean - usual.m_mean;
  const double margin =
    minDifference + confidence * std::sqrt(m_variance / m_samples);
  if (difference < -margin)
    return SpeedClass::Fast;
  return difference > margin ? SpeedClass::Slow : SpeedClass::Usual;
}

double
WorkerSpeed::speedAgainst(const WorkerSpeed& usual) const
{
  return classAgainst(usual) == SpeedClass::Usual
           ? 1
           : std::clamp(
               std::exp(usual.m_mean - m_mean), 1 / maxSpeed, maxSpeed);
}

double
WorkerSpeed::meanRatio() const
{
  return std::exp(m_mean);
}

} // namespace cowslippin
