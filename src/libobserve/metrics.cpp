#include "metrics.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

template<class Metric>
Metric&
findOrMake(std::map<std::string, std::unique_ptr<Metric>>& metrics,
           const std::string& name)
{
  std::unique_ptr<Metric>& metric = metrics[name];
  if (!metric) {
    metric = std::make_unique<Metric>();
  }
  return *metric;
}

double
toMilliseconds(Duration duration)
{
  return std::chrono::duration<double, std::milli>(duration).count();
}

nlohmann::json
toJson(const LatencySummary& summary)
{
  return {
    { "count", summary.count() },
    { "meanMs", toMilliseconds(summary.mean()) },
    { "p50Ms", toMilliseconds(summary.median()) },
    { "p99Ms", toMilliseconds(summary.p99()) },
    { "maxMs", toMilliseconds(summary.max()) },
  };
}

nlohmann::json
readGauge(const Metrics::Gauge& gauge)
{
  try {
    return gauge();
  } catch (const std::exception&) {
    return nullptr;
  }
}

} // namespace

Counter&
Metrics::counter(const std::string& name)
{
  const std::lock_guard lock(m_mutex);
  return findOrMake(m_counters, name);
}

LatencyRecorder&
Metrics::latency(const std::string& name)
{
  const std::lock_guard lock(m_mutex);
  return findOrMake(m_latencies, name);
}

void
Metrics::addGauge(const std::string& name, Gauge gauge)
{
  const std::lock_guard lock(m_mutex);
  m_gauges[name] = std::move(gauge);
}

nlohmann::json
Metrics::toJson() const
{
  return {
    { "counters", countersToJson() },
    { "gauges", gaugesToJson() },
    { "latencies", latenciesToJson() },
  };
}

nlohmann::json
Metrics::countersToJson() const
{
  const std::lock_guard lock(m_mutex);
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, counter] : m_counters) {
    json[name] = counter->value();
  }
  return json;
}

nlohmann::json
Metrics::gaugesToJson() const
{
  std::unique_lock lock(m_mutex);
  const std::map<std::string, Gauge> gauges = m_gauges;
  lock.unlock();
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, gauge] : gauges) {
    json[name] = readGauge(gauge);
  }
  return json;
}

nlohmann::json
Metrics::latenciesToJson() const
{
  const std::lock_guard lock(m_mutex);
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, latency] : m_latencies) {
    json[name] = cowslippin::toJson(latency->summary());
  }
  return json;
}

} // namespace cowslippin
