#include "libobserve/observe.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <stdexcept>
#include <thread>

namespace cowslippin {
namespace {

using std::chrono::milliseconds;

TEST(LatencyRecorder, IsAllZeroWithoutSamples)
{
  EXPECT_EQ(LatencyRecorder().summary(), LatencySummary());
}

TEST(LatencyRecorder, IsExactForAFewSamples)
{
  LatencyRecorder recorder;
  for (int i : { 5, 1, 4, 2, 3 }) {
    recorder.record(milliseconds(i));
  }
  LatencySummary::Fields expected;
  expected.count = 5;
  expected.mean = milliseconds(3);
  expected.median = milliseconds(3);
  expected.p99 = milliseconds(5);
  expected.max = milliseconds(5);
  EXPECT_EQ(recorder.summary(), LatencySummary(expected));
}

TEST(LatencyRecorder, EstimatesQuantilesOfAShuffledRange)
{
  constexpr int samples = 10000;
  std::vector<int> values(samples);
  std::iota(values.begin(), values.end(), 1);
  std::shuffle(values.begin(), values.end(), std::mt19937(7));
  LatencyRecorder recorder;
  for (int value : values) {
    recorder.record(Duration(value));
  }
  const LatencySummary summary = recorder.summary();
  EXPECT_EQ(summary.count(), 10000U);
  EXPECT_NEAR(summary.median().count(), samples * 0.5, samples * 0.02);
  EXPECT_NEAR(summary.p99().count(), samples * 0.99, samples * 0.005);
  EXPECT_EQ(summary.max().count(), samples);
}

TEST(LatencyRecorder, LosesNoSampleOfSeveralThreads)
{
  constexpr int samplesEach = 10000;
  LatencyRecorder recorder;
  const auto recordMany = [&] {
    for (int i = 0; i < samplesEach; ++i) {
      recorder.record(milliseconds(2));
    }
  };
  std::thread other(recordMany);
  recordMany();
  other.join();
  EXPECT_EQ(recorder.summary().count(), 2U * samplesEach);
  EXPECT_EQ(recorder.summary().mean(), milliseconds(2));
}

TEST(Metrics, RendersEveryKind)
{
  Metrics metrics;
  metrics.counter("tasks-started").add();
  metrics.counter("tasks-started").add(2);
  metrics.latency("request").record(Duration(1500));
  metrics.addGauge("queued", [] { return 4.0; });
  metrics.addGauge("broken", []() -> double { throw std::runtime_error("x"); });
  const nlohmann::json expected = {
    { "counters", { { "tasks-started", 3 } } },
    { "gauges", { { "queued", 4.0 }, { "broken", nullptr } } },
    { "latencies",
      { { "request",
          { { "count", 1 },
            { "meanMs", 1.5 },
            { "p50Ms", 1.5 },
            { "p99Ms", 1.5 },
            { "maxMs", 1.5 } } } } },
  };
  EXPECT_EQ(metrics.toJson(), expected);
}

TEST(Metrics, AGaugeMayUseTheRegistry)
{
  Metrics metrics;
  metrics.addGauge("self", [&] {
    return static_cast<double>(metrics.counter("tasks-started").value());
  });
  EXPECT_EQ(metrics.toJson()["gauges"]["self"], 0.0);
}

TEST(StateDump, ReportsAFailingSectionAndRendersTheOthers)
{
  StateDump dump;
  dump.addSection("claims", [] { return nlohmann::json{ { "live", 2 } }; });
  dump.addSection(
    "peers", []() -> nlohmann::json { throw std::runtime_error("no peers"); });
  const nlohmann::json expected = { { "claims", { { "live", 2 } } },
                                    { "peers", { { "error", "no peers" } } } };
  EXPECT_EQ(dump.render(), expected);
}

TEST(StateDump, ALaterSectionReplacesOneOfTheSameName)
{
  StateDump dump;
  dump.addSection("claims", [] { return nlohmann::json(1); });
  dump.addSection("claims", [] { return nlohmann::json(2); });
  EXPECT_EQ(dump.render(), (nlohmann::json{ { "claims", 2 } }));
}

} // namespace
} // namespace cowslippin
