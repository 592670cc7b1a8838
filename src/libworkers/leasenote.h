#pragma once

#include "runkey.h"
#include "workerorder.h"

#include "libcore/clock.h"

#include <vector>

namespace cowslippin {

/// An orphaned run that nobody asked for is being stopped.
struct StrayStopped
{
  RunKey key;
  Duration age;
};

/// A stop was not carried out, as far as this daemon knows.
struct StopFailed
{
  RunKey key;
  OrderFailure failure;
  unsigned sent;
  Duration sinceFirst;
  Duration sinceLast;
};

/// A renewal of the worker's lease extended a run that is to end.
struct UnwantedRenewal
{
  RunKey key;
  bool isStray;
  /// Time since the stop was first sent or, for an orphaned run, since the run
  /// was found.
  Duration age;
};

/// The lease of a silent worker has expired, so that all its runs count as
/// ended.
struct LeaseLapsed
{
  std::vector<RunKey> runs;
  /// Zero if the worker's current incarnation has not reported.
  Duration sinceReport;
  Duration sinceLapse;
};

} // namespace cowslippin
