#pragma once

#include "entrycore.h"

#include "libcore/clock.h"

#include <memory>
#include <string>

namespace prometheus {
class Histogram;
class Registry;
}

namespace cowslippin {

/// The counters, gauges and latency histograms of one daemon, in the text
/// format of Prometheus. docs/METRICS.md describes each metric.
class EntryMetrics
{
public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  /// Records the answer to a caller and its response time.
  void answered(JobAnswer::Kind kind, Duration took);

  /// All metrics as text, with the current state of the daemon.
  std::string render(const EntryCore& core);

private:
  struct Families;

  void setGauges(const EntryCore& core);
  void countEvents();

  std::shared_ptr<prometheus::Registry> m_registry;
  std::unique_ptr<Families> m_families;
};

} // namespace cowslippin
