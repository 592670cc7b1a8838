#pragma once

#include "runkey.h"
#include "workerorder.h"

#include "libcore/clock.h"

#include <vector>

namespace cowslippin {

/// A run that nobody has asked for is stopped.
struct StrayStopped
{
  RunKey key;
  Duration age;
};

/// A stop was not carried out, as far as is known.
struct StopFailed
{
  RunKey key;
  OrderFailure failure;
  unsigned sent;
  Duration sinceFirst;
  Duration sinceLast;
};

/// The lease was renewed over a run that is to end.
struct UnwantedRenewal
{
  RunKey key;
  bool isStray;
  /// Since its stop was first sent, or since it was found.
  Duration age;
};

/// All runs of a silent worker are taken as gone.
struct LeaseLapsed
{
  std::vector<RunKey> runs;
  /// Zero if there was no report in the worker's present life.
  Duration sinceReport;
  Duration sinceLapse;
};

} // namespace cowslippin
