#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// Measures how fast a queue drains, from the gaps between starts while tasks
/// are waiting.
class DrainRate
{
public:
  /// A task was started; `backlog` says whether others still wait.
  void started(TimePoint now, bool backlog);

  /// Starts a second, once enough were seen.
  std::optional<double> perSecond() const;

private:
  static constexpr int samplesToTrust = 32;
  static constexpr double smoothing = 1.0 / 64;

  std::optional<TimePoint> m_last;
  double m_meanGap = 0.0;
  int m_samples = 0;
};

} // namespace cowslippin
