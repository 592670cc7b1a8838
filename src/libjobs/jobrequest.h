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

/// An answer later than this many times the response time objective has no
/// value.
constexpr double worthlessResponseFactor = 3;

/// Maximum number of tasks of a job.
constexpr TaskIndex maxTasksPerJob = 2000;

/// What each task of a job needs.
struct TaskNeeds
{
  Resources resources;
  /// The submitter's rough estimate of a task's run time.
  Duration estimate = Duration::zero();
  /// A label that the worker must have; empty for any.
  std::string requiredLabel;
  /// The label of the rack that has the task's data, which is preferred; empty
  /// for none.
  std::string preferredRack;
  /// Maximum number of tasks of the job on one worker; 0 for any number.
  unsigned maxPerWorker = 0;
};

/// How a queue's jobs are treated, from the configuration in force.
struct QueuePolicy
{
  std::string queue;
  ServiceName service;
  /// Priority 0 goes first.
  int priority = 0;
  /// The job fails when one of its tasks has failed this often.
  unsigned maxAttempts = 1;
  /// The response time objective is `stretch` times the run time of the longest
  /// task, plus `target`.
  double stretch = 1;
  Duration target = Duration::zero();
};

/// The workers of a shard as its holder advertised them.
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

/// Runs that a lost daemon may have left behind. Until it is certain that they
/// are over, or all the workers have reported, the job's tasks must not start
/// again.
struct Quarantine
{
  /// The workers of the lost daemon, as it advertised them to the submitter.
  /// Once all of them have reported, no run is unknown. Not set if they aren't
  /// known, or if runs may be left on other workers.
  std::optional<ShardWorkers> lostHoldersWorkers;
  /// Time since the daemon was lost. Only what workers report since then shows
  /// what it has left behind.
  Duration sinceLoss = Duration::zero();
  /// How much longer the runs may go on if no worker reports.
  Duration timeRemaining = Duration::zero();
  /// The tasks that may be in progress, if the daemon reported them. For each
  /// of them it is enough that its own worker has reported.
  std::optional<std::vector<TaskLocation>> activeTasks = std::nullopt;
};

/// A job, or a part of its tasks, as one daemon hands it to another.
struct JobRequest
{
  JobKey key;
  QueuePolicy policy;
  TaskNeeds needs;
  /// The shard whose workers the tasks may use.
  ShardId shard;
  /// Passed to the worker unchanged.
  std::string spec;
  /// The name of a task is this prefix followed by its index.
  std::string taskPrefix;
  std::vector<TaskIndex> tasks;
  /// Number of the first run. The number rises with each start of a task.
  std::uint64_t firstRun = 1;
  /// Time since the caller's request arrived.
  Duration age = Duration::zero();
  /// Time until the caller stops waiting.
  Duration timeLeft = Duration::zero();
  std::optional<Quarantine> quarantine;
  /// The `part` of the key under which the submitter has handed over the same
  /// tasks before; 0 if it has not. Messages about that key are then ignored.
  std::uint64_t previousPart = 0;
  /// Whether any task of the job may have run before, so that it would be false
  /// to refuse the job.
  bool mayHaveRun = false;
  /// Whether the tasks may be returned, to be handed to another holder. If not,
  /// the job is refused at once where there is no room at all.
  bool allowsReturn = true;
  CrashCounts crashes = {};
  /// How much longer it is certain that no other daemon receives the job again
  /// without knowing where it is in progress. No limit once the other daemons
  /// have been told of the job.
  Duration exclusiveFor = Duration::max();

  std::string taskName(TaskIndex task) const
  {
    return taskPrefix + std::to_string(task);
  }
};

} // namespace cowslippin
