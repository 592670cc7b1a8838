#pragma once

#include "workerbirth.h"

#include "libcore/clock.h"

#include <set>

namespace cowslippin {

/// Which life of a worker something was said by.
enum class WorkerLife
{
  Present,
  /// One that is over.
  Earlier,
  /// One that has begun since.
  Next,
};

/// Tells the lives of one worker apart. The platform's list and the worker's
/// answers may arrive in any order, and answers may overtake each other. The
/// later birth is the later life; but a worker's clock of day may have been set
/// back between two lives, so that an answer to an order that was sent after a
/// life was known is taken for that life or a later one, whatever its birth.
class LifeTracker
{
public:
  LifeTracker(WorkerBirth birth, TimePoint now);

  /// Whether the worker reports its birth. Only such a worker keeps its id when
  /// it restarts.
  bool isBirthKnown() const { return m_present.isKnown(); }

  /// An entry of the platform's list. If it is of the next life, that is the
  /// present one from now on.
  WorkerLife seenInList(const WorkerBirth& birth, TimePoint now);
  /// The answer to an order that was sent at `sent`; the same.
  WorkerLife seenInAnswer(const WorkerBirth& birth,
                          TimePoint sent,
                          TimePoint now);

private:
  bool tellsNothingNew(const WorkerBirth& birth, TimePoint now);
  void begin(const WorkerBirth& birth, TimePoint now);

  WorkerBirth m_present;
  TimePoint m_knownSince;
  /// Births of lives that are over.
  std::set<WorkerBirth> m_over;
};

} // namespace cowslippin
