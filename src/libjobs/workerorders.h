#pragma once

#include "libworkers/workers.h"

#include <functional>

namespace cowslippin {

/// Sends orders to workers. The answer, or that none came within the time
/// given, is told to whoever has sent the order. None may be empty.
struct WorkerOrders
{
  std::function<void(const WorkerRecord&, const HoldOrder&, Duration)> hold;
  std::function<void(const WorkerRecord&, const StartOrder&, Duration)> start;
  std::function<void(const WorkerRecord&, const StopOrder&, Duration)> stop;
};

} // namespace cowslippin
