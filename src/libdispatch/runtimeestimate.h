#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// The learned run time of a template: a moving average that starts from the
/// declared time and soon forgets it.
class RunTimeEstimate
{
public:
  explicit RunTimeEstimate(Duration declared)
    : m_mean(static_cast<double>(declared.count()))
  {
  }

  void record(Duration runTime);

  Duration mean() const { return Duration(static_cast<long long>(m_mean)); }

  /// By how much hardly any run exceeds the mean.
  Duration margin() const;

  /// Whether enough runs were seen to trust it against a deadline.
  bool isLearned() const { return m_samples >= samplesToLearn; }

private:
  static constexpr int samplesToLearn = 5;
  static constexpr int longestMemory = 32;

  static constexpr double deviationsAbove = 3.5;

  double m_mean;
  /// The mean distance of a run from the mean.
  double m_deviation = 0.0;
  int m_samples = 0;
};

} // namespace cowslippin
