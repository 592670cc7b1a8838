#include "holderrelief.h"

namespace cowslippin {

namespace {

constexpr double minShareOfHolder = 0.25;

/// Whether it is true that nothing of the job has run. Parts of a split job
/// don't allow a return or may have run.
bool
mayBeRefused(const JobRequest& request)
{
  return request.allowsReturn && !request.mayHaveRun && !request.quarantine &&
         request.firstRun == 1;
}

} // namespace

AdmittedShare::Settings
HolderRelief::Settings::shareOfHolder()
{
  AdmittedShare::Settings settings;
  settings.minShare = minShareOfHolder;
  return settings;
}

bool
HolderRelief::refuses(const JobRequest& request)
{
  if (!m_share.isLimiting() || !mayBeRefused(request))
    return false;
  double& remainder = m_remainders[request.policy.queue];
  remainder += m_share.value();
  if (remainder < 1)
    return true;
  remainder -= 1;
  return false;
}

} // namespace cowslippin
