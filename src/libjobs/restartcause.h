#pragma once

namespace cowslippin {

/// Why a task that may have been started before may be started again.
enum class RestartCause
{
  /// The task has not been started, as far as is known.
  None,
  /// The last run failed.
  Failed,
  /// The worker was lost with the last run.
  WorkerLost,
  /// The lease of a worker that doesn't answer expired.
  Expired,
  /// The worker reported that it doesn't have the last run, or stopped it.
  RunLost,
  /// The last run was stopped because it made no progress.
  Stalled,
  /// The worker knows a run of the task with a higher number.
  StaleRun,
  /// Another daemon had the job before, and no run of the task is known.
  HandedOver,
  /// After the loss of a daemon: the worker that had the last run reported that
  /// it has none.
  WorkerReported,
  /// After the loss of a daemon: all workers of its shard reported that they
  /// have no run of the task.
  ShardReported,
  /// After the loss of a daemon: nothing was reported, but its runs are over by
  /// now.
  QuarantineExpired,
};

constexpr const char*
toString(RestartCause cause)
{
  switch (cause) {
    case RestartCause::None:
      return "none";
    case RestartCause::Failed:
      return "failed";
    case RestartCause::WorkerLost:
      return "worker-lost";
    case RestartCause::Expired:
      return "lapsed";
    case RestartCause::RunLost:
      return "run-lost";
    case RestartCause::Stalled:
      return "stalled";
    case RestartCause::StaleRun:
      return "stale-run";
    case RestartCause::HandedOver:
      return "handed-over";
    case RestartCause::WorkerReported:
      return "worker-told";
    case RestartCause::ShardReported:
      return "shard-claimed";
    case RestartCause::QuarantineExpired:
      return "time-passed";
  }
  return "other";
}

} // namespace cowslippin
