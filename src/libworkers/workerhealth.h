#pragma once

#include "holdreport.h"

#include "libcore/clock.h"

namespace cowslippin {

/// Whether a worker is worth being given tasks, from what became of those that
/// it had. One that fails nearly all that it starts, or is far slower than
/// others, is kept off for a while and then tried with one task at a time.
class WorkerHealth
{
public:
  struct Settings
  {
    /// Weight of the newest run in the moving shares.
    double weight = 0.35;
    /// Share of failed runs from which the worker is kept off. One task in 500
    /// fails by itself, so that two failures among three runs are no accident.
    double failureLimit = 0.5;
    /// How many times the usual run time is too slow.
    double slownessLimit = 2.4;
    /// How long it is first kept off; doubles up to `longestPause`.
    Duration firstPause = std::chrono::milliseconds(800);
    Duration longestPause = std::chrono::seconds(4);
  };

  explicit WorkerHealth(Settings settings)
    : m_settings(settings)
  {
  }

  /// A run ended. `slowness` is its time over the usual time of such a task,
  /// 0 if it isn't known.
  void ended(RunEnd end, double slowness, TimePoint now);

  /// A run makes no progress or was started in vain.
  void stalled(TimePoint now);

  /// Whether it may be given a task, with this many there already.
  bool isUsable(std::size_t runs, TimePoint now) const;

  /// Moving mean of run time over the usual one.
  double slowness() const { return m_slowness; }
  double failureShare() const { return m_failureShare; }
  bool isKeptOff(TimePoint now) const { return now < m_keptOffUntil; }

private:
  void keepOff(TimePoint now);

  Settings m_settings;
  double m_failureShare = 0;
  double m_slowness = 1;
  bool m_isOnProbation = false;
  Duration m_pause = Duration::zero();
  TimePoint m_keptOffUntil{};
};

} // namespace cowslippin
