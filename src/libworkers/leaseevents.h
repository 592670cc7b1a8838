#pragma once

#include "presumedovercause.h"
#include "runkey.h"
#include "workerorder.h"

#include "libcore/clock.h"

#include <cstdint>
#include <optional>
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

/// The report from which a lease concludes that a run is over.
struct DecidingReport
{
  Duration sinceRequest;
  /// The worker's clock in the report minus the deadline of the run's start.
  /// Nothing if the deadline isn't known, as for an orphaned run.
  std::optional<std::int64_t> pastDeadlineMs;
};

/// A run no longer counts against the worker's capacity although the worker has
/// not listed its end.
struct RunPresumedOver
{
  RunKey key;
  PresumedOverCause cause;
  TimePoint at;
  bool isOrphaned;
  /// Token of the order that started the run; 0 if another holder sent it.
  FencingToken token;
  /// Time since the start was last sent or, for an orphaned run, since the run
  /// was found.
  Duration sinceStart;
  /// Time since an answer or a report first showed that the worker has the run.
  std::optional<Duration> sinceConfirmed;
  std::optional<Duration> sinceStopAnswered;
  /// Nothing if no report was decisive.
  std::optional<DecidingReport> report;
};

} // namespace cowslippin
