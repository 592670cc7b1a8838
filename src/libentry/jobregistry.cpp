#include "jobregistry.h"

#include "libjobs/jobs.h"

#include <algorithm>

namespace cowslippin {

const Duration JobRegistry::lifetime = renewalInterval + maxOrphanedRun;

std::optional<JobRegistry::Registration>
JobRegistry::add(const JobId& job,
                 const VmId& gateway,
                 const std::vector<VmId>& endedAt,
                 TimePoint now)
{
  const auto [found, isNew] = m_byJob.try_emplace(job);
  Registration& registration = found->second;
  const bool isTaken =
    !isNew && registration.gateway != gateway && now < registration.expiresAt &&
    std::count(endedAt.begin(), endedAt.end(), registration.gateway) == 0;
  if (isTaken)
    return registration;
  registration = { gateway, now + lifetime };
  m_expiries.emplace_back(registration.expiresAt, job);
  return std::nullopt;
}

void
JobRegistry::gatewayLost(const VmId& gateway, TimePoint now)
{
  for (auto& [job, registration] : m_byJob) {
    if (registration.gateway == gateway)
      registration.expiresAt =
        std::min(registration.expiresAt, now + maxOrphanedRun);
  }
}

void
JobRegistry::expire(TimePoint now)
{
  while (!m_expiries.empty() && now >= m_expiries.front().first) {
    const auto found = m_byJob.find(m_expiries.front().second);
    if (found != m_byJob.end() && now >= found->second.expiresAt)
      m_byJob.erase(found);
    m_expiries.pop_front();
  }
}

} // namespace cowslippin
