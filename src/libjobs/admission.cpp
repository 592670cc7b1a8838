#include "admission.h"

#include "job.h"
#include "joblimits.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Smallest share of the capacity that a job is assumed to get, however much is
/// served before it: later jobs are themselves refused when they arrive too
/// fast.
constexpr double minCapacityShare = 0.1;
/// Shortest delay after which a refused caller is told to retry.
constexpr Duration minRetryAfter = std::chrono::milliseconds(200);

} // namespace

Duration
expectedWait(const Backlog& backlog)
{
  if (backlog.capacity <= 0)
    return Duration::zero();
  const double left = std::max(backlog.capacity - backlog.takenByLaterJobs,
                               backlog.capacity * minCapacityShare);
  const double wait =
    std::min(backlog.workBefore / left, double(maxJobDuration.count()));
  return Duration(std::int64_t(wait));
}

bool
mayAdmit(const AdmissionRequest& request, double refusalFactor)
{
  if (!request.canEverRun)
    return false;
  if (request.wasReferred)
    return request.freeSlots > 0;
  if (request.freeSlots >= request.tasks || request.mayGoElsewhere)
    return true;
  const Duration time = request.expectedWait + request.runTime;
  return time <= request.timeLeft &&
         request.age + time <= scaled(request.objective, refusalFactor);
}

Duration
retryAfter(Duration expectedWait)
{
  return std::max(minRetryAfter, expectedWait);
}

} // namespace cowslippin
