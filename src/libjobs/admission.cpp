#include "admission.h"

#include "job.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Share of the capacity that a job gets at least however much goes before it:
/// newcomers are refused themselves when they come too fast.
constexpr double leastShare = 0.1;
/// A caller that is refused is told to come back after this long at least.
constexpr Duration minRetryAfter = std::chrono::milliseconds(200);

} // namespace

Duration
expectedWait(const Backlog& backlog)
{
  if (backlog.capacity <= 0)
    return Duration::zero();
  const double left = std::max(backlog.capacity - backlog.takenByNewcomers,
                               backlog.capacity * leastShare);
  return Duration(std::int64_t(backlog.workBefore / left));
}

bool
mayAdmit(const AdmissionRequest& request, double refusalFactor)
{
  if (!request.canEverRun)
    return false;
  if (request.isSuggested)
    return request.freePlaces > 0;
  if (request.freePlaces >= request.tasks || request.mayGoElsewhere)
    return true;
  const Duration end = request.age + request.expectedWait + request.runTime;
  return end <= scaled(request.objective, refusalFactor);
}

Duration
retryAfter(Duration expectedWait)
{
  return std::max(minRetryAfter, expectedWait);
}

} // namespace cowslippin
