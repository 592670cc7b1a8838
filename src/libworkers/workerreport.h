#pragma once

#include "runkey.h"
#include "workerboottime.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

enum class RunEnd
{
  Done,
  /// The run failed, through its own fault or the worker's.
  Failed,
  /// A stop order ended the run.
  Stopped,
  /// The lease expired.
  Expired,
  /// Another member of the run's gang ended or never started.
  GangBroken,
  /// The worker is gone or never started the run.
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
    case RunEnd::Expired:
      return "lapsed";
    case RunEnd::GangBroken:
      return "gang-broken";
    case RunEnd::Lost:
      return "lost";
  }
  return "unknown";
}

/// A run in progress on a worker.
struct ActiveRun
{
  RunKey key;
  /// Share of the work that is done, 0 to 100.
  int percent = 0;
};

/// A run that has ended and whose end has not been acknowledged.
struct EndedRun
{
  /// Sequence number of the end in the worker's current incarnation, from 1.
  std::uint64_t sequence = 0;
  RunKey key;
  RunEnd end = RunEnd::Lost;
};

/// State of a worker as reported to its lease holder.
struct WorkerReport
{
  WorkerBootTime bootTime;
  /// The worker's own clock when it made the report, in milliseconds. It may
  /// restart with each incarnation.
  std::int64_t clockMs = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
};

} // namespace cowslippin
