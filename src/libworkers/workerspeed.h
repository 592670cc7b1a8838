#pragma once

namespace cowslippin {

/// How fast a worker runs tasks compared with the usual.
enum class SpeedClass
{
  Fast,
  Usual,
  Slow,
};

inline const char*
toString(SpeedClass speed)
{
  switch (speed) {
    case SpeedClass::Fast:
      return "fast";
    case SpeedClass::Usual:
      return "usual";
    case SpeedClass::Slow:
      return "slow";
  }
  return "unknown";
}

/// Learns how fast runs are from the ratio of their time to the time that was
/// expected. It keeps a moving mean of the ratios' logarithms, so that a run of
/// half the time and one of twice the time cancel each other.
class WorkerSpeed
{
public:
  /// `samples` is the number of runs that the mean is over.
  explicit WorkerSpeed(unsigned samples)
    : m_maxSamples(samples)
  {
  }

  /// Records a run that took `ratio` times the time that was expected. A ratio
  /// that isn't positive is ignored.
  void record(double ratio);

  /// The class of this speed where `usual` is that of all workers. A worker is
  /// fast or slow once its mean ratio differs from the usual by a tenth beyond
  /// what chance explains, so that a fast and a slow one differ by a fifth.
  SpeedClass classAgainst(const WorkerSpeed& usual) const;

  /// How many times as fast as the usual the worker is; 1 if it isn't known to
  /// differ.
  double speedAgainst(const WorkerSpeed& usual) const;

  /// The mean ratio, 1 if there were no runs.
  double meanRatio() const;

  /// The number of runs that the mean is over.
  unsigned samples() const { return m_samples; }

private:
  unsigned m_maxSamples;
  unsigned m_samples = 0;
  double m_mean = 0;
  double m_variance = 0;
};

} // namespace cowslippin
