#include "latencyrecorder.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <mutex>

namespace cowslippin {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 2> quantiles = { 0.5, 0.99 };
constexpr std::size_t medianIndex = 0;
constexpr std::size_t p99Index = 1;

/// P-square needs 7 samples before its estimates mean anything, and a good
/// many more before they are better than the samples themselves.
constexpr std::size_t exactSamples = 64;

using Accumulator = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count,
                      accumulators::tag::mean,
                      accumulators::tag::max,
                      accumulators::tag::extended_p_square>>;

Duration
toDuration(double microseconds)
{
  return Duration(std::llround(microseconds));
}

} // namespace

class LatencyRecorder::State
{
public:
  void record(double microseconds);
  LatencySummary summary() const;

private:
  double quantile(std::size_t index) const;
  double exactQuantile(double probability) const;

  mutable std::mutex m_mutex;
  Accumulator m_accumulator{ accumulators::extended_p_square_probabilities =
                               quantiles };
  std::size_t m_count = 0;
  std::array<double, exactSamples> m_firstSamples{};
};

void
LatencyRecorder::State::record(double microseconds)
{
  const std::lock_guard lock(m_mutex);
  m_accumulator(microseconds);
  if (m_count < exactSamples) {
    m_firstSamples[m_count] = microseconds;
  }
  ++m_count;
}

LatencySummary
LatencyRecorder::State::summary() const
{
  const std::lock_guard lock(m_mutex);
  if (m_count == 0) {
    return {};
  }
  LatencySummary::Fields fields;
  fields.count = m_count;
  fields.mean = toDuration(accumulators::mean(m_accumulator));
  fields.median = toDuration(quantile(medianIndex));
  fields.p99 = toDuration(quantile(p99Index));
  fields.max = toDuration(accumulators::max(m_accumulator));
  return LatencySummary(fields);
}

double
LatencyRecorder::State::quantile(std::size_t index) const
{
  if (m_count <= exactSamples) {
    return exactQuantile(quantiles[index]);
  }
  const auto estimates = accumulators::extended_p_square(m_accumulator);
  return *std::next(estimates.begin(), static_cast<std::ptrdiff_t>(index));
}

double
LatencyRecorder::State::exactQuantile(double probability) const
{
  std::array<double, exactSamples> sorted = m_firstSamples;
  std::sort(sorted.begin(), sorted.begin() + m_count);
  const double rank = std::ceil(probability * static_cast<double>(m_count));
  return sorted[static_cast<std::size_t>(rank) - 1];
}

LatencyRecorder::LatencyRecorder()
  : m_state(std::make_unique<State>())
{
}

LatencyRecorder::~LatencyRecorder() = default;

void
LatencyRecorder::record(Duration duration)
{
  m_state->record(static_cast<double>(duration.count()));
}

LatencySummary
LatencyRecorder::summary() const
{
  return m_state->summary();
}

} // namespace cowslippin
