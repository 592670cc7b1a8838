#pragma once

#include "runkey.h"
#include "workerbirth.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

/// How a run came to its end.
enum class RunEnd
{
  Done,
  /// By its own fault or the worker's.
  Failed,
  /// By an order.
  Stopped,
  /// Its lease ran out.
  Lapsed,
  /// Another member of its gang ended, or never came.
  GangBroken,
  /// The worker is gone, or never began it.
  Lost,
};

inline const char*
toString(RunEnd end)
{
  switch (end) {
    case RunEnd::Done:
      return "done";
    case RunEnd::Failed:
      return "failed";
    case RunEnd::Stopped:
      return "stopped";
    case RunEnd::Lapsed:
      return "lapsed";
    case RunEnd::GangBroken:
      return "gang-broken";
    case RunEnd::Lost:
      return "lost";
  }
  return "unknown";
}

/// A run that a worker is working on.
struct ActiveRun
{
  RunKey key;
  /// Share of its work that is done, 0 to 100.
  int percent = 0;
};

/// A run that has ended and whose end has not been acknowledged.
struct EndedRun
{
  /// Rises with each end in the present life of the worker, from 1.
  std::uint64_t number = 0;
  RunKey key;
  RunEnd end = RunEnd::Lost;
};

/// What a worker tells its lease holder.
struct HoldReport
{
  WorkerBirth birth;
  /// The worker's own clock at the time of the report, in milliseconds. It may
  /// begin anew with each life.
  std::int64_t clockMs = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
};

} // namespace cowslippin
