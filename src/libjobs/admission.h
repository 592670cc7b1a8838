#pragma once

#include "libcore/clock.h"

namespace cowslippin {

/// What stands between a job and its start on a shard. Work is in thousandths
/// of a core times the clock's ticks.
struct Backlog
{
  /// Work that waits and is served before the job.
  double workBefore = 0;
  /// What the shard's workers can be filled with, in thousandths of a core.
  double capacity = 0;
  /// What of it newcomers that go before the job take while it waits.
  double takenByNewcomers = 0;
};

/// How long a job waits for its places.
Duration
expectedWait(const Backlog& backlog);

/// A job that asks for admission, and what is known of its chances.
struct AdmissionRequest
{
  unsigned tasks = 0;
  /// Tasks of its size that could be started now.
  unsigned freePlaces = 0;
  /// Whether any worker could ever run it.
  bool canEverRun = true;
  /// Whether this holder was named to the submitter for its room.
  bool isSuggested = false;
  /// Whether another holder has room for tasks that find none here.
  bool mayGoElsewhere = false;
  Duration expectedWait = Duration::zero();
  /// Expected run time of a task.
  Duration runTime = Duration::zero();
  /// Since the caller's request arrived.
  Duration age = Duration::zero();
  /// Response time up to which an answer has its full worth.
  Duration objective = Duration::zero();
};

/// Whether a job is admitted to a shard's queue.
///
/// It answers load above what the workers can do: a job that can't be done in
/// time only makes others late, and its caller is better served by being told
/// at once when to come back. What fits now is admitted however long the queue
/// is: the room that it takes is too small for those that wait.
bool
mayAdmit(const AdmissionRequest& request, double refusalFactor);

/// When a refused caller should come back: when the room that it lacked is
/// expected.
Duration
retryAfter(Duration expectedWait);

} // namespace cowslippin
