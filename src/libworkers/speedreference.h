#pragma once

#include "workerspeed.h"

#include <map>
#include <string>
#include <vector>

namespace cowslippin {

/// What is known of a worker's speed.
struct SpeedEstimate
{
  SpeedClass speedClass = SpeedClass::Usual;
  /// How many times as fast as usual the worker is.
  double factor = 1;

  friend bool operator==(const SpeedEstimate& a, const SpeedEstimate& b)
  {
    return a.speedClass == b.speedClass && a.factor == b.factor;
  }
  friend bool operator!=(const SpeedEstimate& a, const SpeedEstimate& b)
  {
    return !(a == b);
  }
};

/// The speed of all workers that a daemon has held, together and by label. A
/// worker that has completed few runs, because it is new or its shard has just
/// been taken, is judged by its labels, such as its kind.
class SpeedReference
{
public:
  /// More labels than this are ignored.
  static constexpr std::size_t maxLabels = 256;

  /// Records a run on a worker with these labels that took `ratio` times the
  /// time that was expected.
  void record(const std::vector<std::string>& labels, double ratio);

  /// Estimates the speed of a worker from its own runs and its labels.
  SpeedEstimate estimate(const WorkerSpeed& worker,
                         const std::vector<std::string>& labels) const;

private:
  /// More runs than a single worker's mean is over: these speeds hardly change.
  static constexpr unsigned samples = 1024;

  WorkerSpeed m_usual{ samples };
  std::map<std::string, WorkerSpeed> m_byLabel;
};

} // namespace cowslippin
