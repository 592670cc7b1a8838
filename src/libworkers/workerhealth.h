#pragma once

#include "workerreport.h"

#include "libcore/clock.h"

namespace cowslippin {

/// Decides from the outcome of a worker's runs whether the worker may be given
/// tasks. A worker that fails nearly all its runs, or is far slower than
/// others, is excluded for a while and then tried with one task at a time.
class WorkerHealth
{
public:
  struct Settings
  {
    /// Weight of the newest run in the moving averages.
    double weight = 0.35;
    /// Share of failed runs above which the worker is excluded. One task in 500
    /// fails by itself, so that two failures among three runs are no
    /// coincidence.
    double failureLimit = 0.5;
    /// Ratio of run time to usual run time above which the worker is excluded.
    double slownessLimit = 2.4;
    /// How long the worker is excluded at first. Doubles with each exclusion up
    /// to `maxExclusion`.
    Duration firstExclusion = std::chrono::milliseconds(800);
    Duration maxExclusion = std::chrono::seconds(4);
  };

  explicit WorkerHealth(Settings settings)
    : m_settings(settings)
  {
  }

  /// Records the end of a run. `slowness` is the run time divided by the usual
  /// time of such a task, 0 if that isn't known.
  void runEnded(RunEnd end, double slowness, TimePoint now);

  /// Records that a run makes no progress or was started in vain, and excludes
  /// the worker.
  void runStalled(TimePoint now);

  /// Whether the worker may be given a task while it has this many runs.
  bool isUsable(std::size_t runs, TimePoint now) const;

  /// Moving average of run time divided by usual run time.
  double slowness() const { return m_slowness; }
  double failureShare() const { return m_failureShare; }
  bool isExcluded(TimePoint now) const { return now < m_excludedUntil; }

private:
  void exclude(TimePoint now);

  Settings m_settings;
  double m_failureShare = 0;
  double m_slowness = 1;
  bool m_isOnProbation = false;
  Duration m_exclusion = Duration::zero();
  TimePoint m_excludedUntil{};
};

} // namespace cowslippin
