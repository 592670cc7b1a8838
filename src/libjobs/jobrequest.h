#pragma once

#include "crashcounts.h"
#include "jobend.h"
#include "jobkey.h"
#include "libcore/shardid.h"
#include "shardmap.h"

#include "libworkers/resources.h"

#include "libcore/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslippin {

/// What each task of a job needs.
struct TaskNeeds
{
  Resources resources;
  /// The submitter's rough guess of a task's run time.
  Duration estimate = Duration::zero();
  /// A label that the worker must have; empty for any.
  std::string requiredLabel;
  /// The rack of the task's data; empty for none.
  std::string preferredRack;
  /// At most so many tasks of the job on one worker; 0 for any number.
  unsigned maxPerWorker = 0;
};

/// How a queue's jobs are treated, from the configuration in force.
struct QueuePolicy
{
  std::string queue;
  ServiceName service;
  /// 0 goes first.
  int priority = 0;
  /// A task that has failed so often fails its job.
  unsigned maxAttempts = 1;
  /// The ideal response time is `stretch` times the longest task and `target`.
  double stretch = 1;
  Duration target = Duration::zero();
};

/// The workers of a shard as its holder told of them.
struct ShardWorkers
{
  ShardId shard;
  ShardDigest digest = 0;

  friend bool operator==(const ShardWorkers& a, const ShardWorkers& b)
  {
    return a.shard == b.shard && a.digest == b.digest;
  }
  friend bool operator!=(const ShardWorkers& a, const ShardWorkers& b)
  {
    return !(a == b);
  }
};

/// Runs that a lost daemon may have left behind. Until they are surely over,
/// or all the workers have been asked, the job's tasks must not start anew.
struct Quarantine
{
  /// The workers which, once all have been asked, leave nothing unknown: those
  /// of the lost daemon, as it told the submitter. None if they aren't known,
  /// or if runs may be left on others.
  std::optional<ShardWorkers> lastHolders;
  /// How long ago the daemon was lost. Only what workers report since then
  /// tells what it has left behind.
  Duration age = Duration::zero();
  Duration remaining = Duration::zero();
  /// The tasks that may be at work, if the daemon has told them. It is enough
  /// for each that its own worker has been asked.
  std::optional<std::vector<TaskPlace>> underWay = std::nullopt;
};

/// A job, or a part of its tasks, as one daemon hands it to another.
struct JobRequest
{
  JobKey key;
  QueuePolicy policy;
  TaskNeeds needs;
  /// Whose workers the tasks may use.
  ShardId shard;
  /// Passed to the worker as it is.
  std::string spec;
  /// Followed by a task's index it is the task's name.
  std::string taskPrefix;
  std::vector<TaskIndex> tasks;
  /// The number of the first run; rises with each start of a task.
  std::uint64_t firstRun = 1;
  /// Since the caller's request arrived.
  Duration age = Duration::zero();
  /// Until the caller stops waiting.
  Duration timeLeft = Duration::zero();
  std::optional<Quarantine> quarantine;
  /// The part of the key under which the submitter has handed the same over
  /// before; 0 if it has not. What is said of that key is no longer heeded.
  std::uint64_t previousPart = 0;
  /// Whether something of the job may have run before, so that refusing it
  /// would be false.
  bool mayHaveRun = false;
  /// Whether its tasks may be returned to be handed to another holder. If not,
  /// it is refused at once where there is no room at all.
  bool mayBeReturned = true;
  CrashCounts crashes = {};
  /// For how much longer the job can't have come to another daemon again
  /// without that one's knowing where it is under way. No limit once the others
  /// have been told of it.
  Duration exclusiveFor = Duration::max();

  std::string taskName(TaskIndex task) const
  {
    return taskPrefix + std::to_string(task);
  }
};

} // namespace cowslippin
