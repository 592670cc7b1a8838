#pragma once

#include "latencysummary.h"

#include <memory>

namespace cowslippin {

/// Records how long something took, since the process started. The median and
/// the 99th percentile are exact for the first few samples and from then on
/// estimated in constant memory by the extended P-square algorithm.
///
/// Recording holds a mutex of the recorder's own for one accumulator update.
/// Estimates of several threads can't be merged, which rules out a recorder a
/// thread.
class LatencyRecorder
{
public:
  LatencyRecorder();
  ~LatencyRecorder();
  LatencyRecorder(const LatencyRecorder&) = delete;
  LatencyRecorder& operator=(const LatencyRecorder&) = delete;

  void record(Duration duration);
  LatencySummary summary() const;

private:
  class State;

  std::unique_ptr<State> m_state;
};

} // namespace cowslippin
