#pragma once

#include "libworkers/workers.h"

#include <functional>

namespace cowslippin {

/// Sends orders to workers. The sender of an order is told the answer, or that
/// none came within the given time. All functions must be set.
struct WorkerOrders
{
  std::function<void(const WorkerRecord&, const LeaseOrder&, Duration)> hold;
  std::function<void(const WorkerRecord&, const StartOrder&, Duration)> start;
  std::function<void(const WorkerRecord&, const StopOrder&, Duration)> stop;
};

} // namespace cowslippin
