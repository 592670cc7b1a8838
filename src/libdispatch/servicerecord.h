#pragma once

#include "drainrate.h"
#include "endpointpool.h"
#include "fairqueue.h"

namespace cowslippin {

/// A service with its waiting tasks and its endpoints.
struct ServiceRecord
{
  ServiceRecord(const DispatchSettings& settings, std::mt19937_64& random)
    : pool(settings, random)
  {
  }

  ServiceName name;
  EndpointPool pool;
  FairQueue queue;
  DrainRate drainRate;
  RunTimeEstimate typicalRunTime{ std::chrono::milliseconds(100) };
  /// For each group of the queue, since when none of its endpoints is live.
  std::vector<std::optional<TimePoint>> unusableSince;
};

} // namespace cowslippin
