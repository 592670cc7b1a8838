#include "guard.h"

#include "logging.h"

namespace cowslippin {

void
logHandlerFailure(const char* handler, const char* reason)
{
  logDecision(LogLevel::Error,
              "handler-failed",
              { { "handler", handler }, { "reason", reason } });
}

} // namespace cowslippin
