#include "workerhealth.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// An exclusion lowers the averages to these shares of their limits, because
/// one good run on probation is better evidence than the runs before it.
constexpr double failureShareOnProbation = 0.7;
constexpr double slownessOnProbation = 0.9;

} // namespace

void
WorkerHealth::runEnded(RunEnd end, double slowness, TimePoint now)
{
  if (end != RunEnd::Done && end != RunEnd::Failed)
    return;
  const bool isFailure = end == RunEnd::Failed;
  const double weight = m_settings.weight;
  m_failureShare = m_failureShare * (1 - weight) + (isFailure ? weight : 0);
  if (!isFailure && slowness > 0)
    m_slowness = m_slowness * (1 - weight) + slowness * weight;
  const bool isBad = m_failureShare > m_settings.failureLimit ||
                     m_slowness > m_settings.slownessLimit;
  const bool failedProbation = m_isOnProbation && isFailure;
  if (isBad || failedProbation) {
    exclude(now);
  } else if (m_isOnProbation && m_failureShare < m_settings.failureLimit / 2) {
    m_isOnProbation = false;
    m_exclusion = Duration::zero();
  }
}

void
WorkerHealth::runStalled(TimePoint now)
{
  exclude(now);
}

bool
WorkerHealth::isUsable(std::size_t runs, TimePoint now) const
{
  if (isExcluded(now))
    return false;
  return !m_isOnProbation || runs == 0;
}

void
WorkerHealth::exclude(TimePoint now)
{
  if (isExcluded(now))
    return;
  m_exclusion = m_exclusion == Duration::zero()
                  ? m_settings.firstExclusion
                  : std::min(m_exclusion * 2, m_settings.maxExclusion);
  m_excludedUntil = now + m_exclusion;
  m_isOnProbation = true;
  m_failureShare =
    std::min(m_failureShare, m_settings.failureLimit * failureShareOnProbation);
  m_slowness =
    std::min(m_slowness, m_settings.slownessLimit * slownessOnProbation);
}

} // namespace cowslippin
