#include "speedreference.h"

namespace cowslippin {

namespace {

/// Number of runs from which a worker's own runs tell more than its labels.
constexpr unsigned ownRunsSuffice = 24;

} // namespace

void
SpeedReference::record(const std::vector<std::string>& labels, double ratio)
{
  m_usual.record(ratio);
  for (const std::string& label : labels) {
    const auto found = m_byLabel.find(label);
    if (found != m_byLabel.end())
      found->second.record(ratio);
    else if (m_byLabel.size() < maxLabels)
      m_byLabel.emplace(label, samples).first->second.record(ratio);
  }
}

SpeedEstimate
SpeedReference::estimate(const WorkerSpeed& worker,
                         const std::vector<std::string>& labels) const
{
  const WorkerSpeed* best = &worker;
  if (worker.samples() < ownRunsSuffice &&
      worker.classAgainst(m_usual) == SpeedClass::Usual) {
    for (const std::string& label : labels) {
      const auto found = m_byLabel.find(label);
      if (found != m_byLabel.end() &&
          found->second.samples() > best->samples() &&
          found->second.classAgainst(m_usual) != SpeedClass::Usual)
        best = &found->second;
    }
  }
  return { best->classAgainst(m_usual), best->speedAgainst(m_usual) };
}

} // namespace cowslippin
