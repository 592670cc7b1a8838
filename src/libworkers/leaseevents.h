#pragma once

#include "runkey.h"
#include "workerorder.h"

#include "libcore/clock.h"

#include <vector>

namespace cowslippin {

/// An orphaned run that nobody asked for is being stopped.
struct OrphanStopped
{
  RunKey key;
  Duration age;
};

/// A stop was not carried out, as far as this daemon knows.
struct StopFailed
{
  RunKey key;
  OrderFailure failure;
  unsigned attempts;
  Duration sinceFirstAttempt;
  Duration sinceLastAttempt;
};

/// A renewal of the worker's lease extended a run that is to end.
struct EndingRunRenewed
{
  RunKey key;
  bool isOrphaned;
  /// Time since the stop was first sent or, for an orphaned run, since the run
  /// was found.
  Duration age;
};

/// The lease of a silent worker has expired, so that all its runs count as
/// ended.
struct LeaseExpired
{
  std::vector<RunKey> runs;
  /// Zero if the worker's current incarnation has not reported.
  Duration sinceLastReport;
  Duration sinceExpiry;
};

} // namespace cowslippin
