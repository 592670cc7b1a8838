#pragma once

#include "workerboottime.h"

#include "libcore/clock.h"

#include <set>

namespace cowslippin {

/// The incarnation of a worker that sent something.
enum class WorkerIncarnation
{
  Current,
  /// An incarnation that has ended.
  Earlier,
  /// An incarnation that was not known before.
  Next,
};

/// Tells the incarnations of one worker apart. Entries of the platform's worker
/// list and answers of the worker may arrive in any order, and answers may
/// overtake each other. A later boot time means a later incarnation, except
/// that the worker's time of day may have been set back between two
/// incarnations. An answer to an order that was sent after an incarnation was
/// known is therefore attributed to that incarnation or a later one, whatever
/// its boot time.
class IncarnationTracker
{
public:
  IncarnationTracker(WorkerBootTime bootTime, TimePoint now);

  /// Whether the worker reports its boot time. Only such a worker keeps its id
  /// when it restarts.
  bool isBootTimeKnown() const { return m_current.isKnown(); }

  /// Classifies an entry of the platform's worker list. If the entry is of the
  /// next incarnation, that becomes the current one.
  WorkerIncarnation observeListEntry(const WorkerBootTime& bootTime,
                                     TimePoint now);
  /// Classifies the answer to an order sent at `sent`, and does the same.
  WorkerIncarnation observeAnswer(const WorkerBootTime& bootTime,
                                  TimePoint sent,
                                  TimePoint now);

private:
  bool matchesCurrent(const WorkerBootTime& bootTime, TimePoint now);
  void begin(const WorkerBootTime& bootTime, TimePoint now);

  WorkerBootTime m_current;
  TimePoint m_knownSince;
  /// Boot times of incarnations that have ended.
  std::set<WorkerBootTime> m_ended;
};

} // namespace cowslippin
