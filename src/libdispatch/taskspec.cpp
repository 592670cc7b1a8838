#include "taskspec.h"

namespace cowslippin {

bool
operator==(const TaskSpec& a, const TaskSpec& b)
{
  return a.id() == b.id() && a.organisation() == b.organisation() &&
         a.templateName() == b.templateName() && a.service() == b.service() &&
         a.allowedZones() == b.allowedZones() &&
         a.isRepeatable() == b.isRepeatable() &&
         a.declaredRunTime() == b.declaredRunTime() &&
         a.deadline() == b.deadline() && a.maxAttempts() == b.maxAttempts() &&
         a.urgency() == b.urgency();
}

} // namespace cowslippin
