#pragma once

#include "libcore/clock.h"

namespace cowslippin {

/// The load that delays the start of a job on a shard. Work is in thousandths
/// of a core times microseconds.
struct Backlog
{
  /// Waiting work that is served before the job.
  double workBefore = 0;
  /// Usable capacity of the shard's workers, in thousandths of a core.
  double capacity = 0;
  /// Part of the capacity that later jobs which are served first take while the
  /// job waits.
  double takenByLaterJobs = 0;
};

/// Returns how long a job waits for its slots.
Duration
expectedWait(const Backlog& backlog);

/// A job that asks for admission, and the data on which the decision depends.
struct AdmissionRequest
{
  unsigned tasks = 0;
  /// Number of tasks of its size that could be started now.
  unsigned freeSlots = 0;
  /// Whether any worker could ever run it.
  bool canEverRun = true;
  /// Whether the submitter was referred to this holder because it has room.
  bool wasReferred = false;
  /// Whether another holder has room for tasks that find none here.
  bool mayGoElsewhere = false;
  Duration expectedWait = Duration::zero();
  /// Expected time from the start of its tasks to the end of the last one.
  Duration runTime = Duration::zero();
  /// Time until the caller stops waiting.
  Duration timeLeft = Duration::max();
  /// Time since the caller's request arrived.
  Duration age = Duration::zero();
  /// Response time up to which an answer has its full worth.
  Duration objective = Duration::zero();
};

/// Whether a job is admitted to a shard's queue.
///
/// This protects the shard from load above the capacity of its workers. A job
/// that can't be done in time only delays others, and its caller is better
/// served by being told at once when to retry. A job that fits now is admitted
/// however long the queue is, as the room that it takes is too small for the
/// waiting jobs.
bool
mayAdmit(const AdmissionRequest& request, double refusalFactor);

/// Returns the delay after which a refused caller should retry: when the
/// missing room is expected to be free.
Duration
retryAfter(Duration expectedWait);

} // namespace cowslippin
