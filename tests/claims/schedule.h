#pragma once

#include <iosfwd>
#include <vector>

namespace cowslippin {

/// One step of a schedule.
enum class StepKind
{
  /// A caller submits a key; an owner elsewhere is asked.
  Submit,
  /// A batch is taken and appended, or the append in flight ends.
  Append,
  /// A batch of unknown outcome enters the log after all.
  LandLate,
  Read,
  GiveUp,
  Start,
  /// An earlier "declined" reaches a daemon.
  DeliverDecline,
  /// A daemon dies; its successor knows nothing.
  Restart,
  /// Time passes, and one daemon forgets what is too old.
  Advance,
  /// Retention drops a part of the log.
  DropRecords,
};

struct Step
{
  StepKind kind = StepKind::Read;
  unsigned daemon = 0;
  unsigned key = 0;
  /// Chooses among the outcomes that the step may have.
  unsigned choice = 0;
};

std::ostream&
operator<<(std::ostream& out, const Step& step);

using Schedule = std::vector<Step>;

} // namespace cowslippin
