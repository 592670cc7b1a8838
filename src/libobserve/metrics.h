#pragma once

#include "counter.h"
#include "latencyrecorder.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace cowslippin {

/// A process's metrics by name. Looking one up takes a lock and is for set-up;
/// the reference stays valid as long as the registry, so callers keep it and
/// use it on the path of a request. Thread-safe.
class Metrics
{
public:
  /// Reads a value that something else keeps, such as a queue's length. Must
  /// stay callable as long as the registry, from any thread.
  using Gauge = std::function<double()>;

  /// The counter with this name, made on first use.
  Counter& counter(const std::string& name);

  /// The latency recorder with this name, made on first use.
  LatencyRecorder& latency(const std::string& name);

  /// Adds a gauge, in place of an earlier one with the same name.
  void addGauge(const std::string& name, Gauge gauge);

  /// `{"counters":{name:n},"gauges":{name:x},"latencies":{name:{"count",
  /// "meanMs","p50Ms","p99Ms","maxMs"}}}`. A gauge that throws is null.
  nlohmann::json toJson() const;

private:
  nlohmann::json countersToJson() const;
  nlohmann::json gaugesToJson() const;
  nlohmann::json latenciesToJson() const;

  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Counter>> m_counters;
  std::map<std::string, std::unique_ptr<LatencyRecorder>> m_latencies;
  std::map<std::string, Gauge> m_gauges;
};

} // namespace cowslippin
