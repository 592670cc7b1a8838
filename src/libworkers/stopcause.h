#pragma once

namespace cowslippin {

/// Why a holder stops a run. Orphaned runs that nobody asked for are stopped as
/// well; see `OrphanStopped`.
enum class StopCause
{
  /// The job has completed, so that it has no runs.
  JobOver,
  /// The submitter no longer wants the job.
  Cancelled,
  /// This daemon was suspended.
  Suspended,
  /// The submitter was lost and has not come back.
  SubmitterLost,
  /// The last contact with the submitter is too old.
  SubmitterLate,
  /// Another task of the job has failed for good.
  JobFailed,
  /// The job can't be done in time to be of use.
  Refused,
  /// The job's zone is being evacuated.
  Evacuated,
  /// The time that the caller waits is over.
  TimedOut,
  /// Another daemon may soon receive the job again.
  ExclusiveTimeOver,
  /// Another task of the job can't be started anywhere in time.
  Unresolved,
  /// This daemon no longer holds the job's shard.
  Moved,
  /// The run made no progress.
  Stalled,
  /// The start was not answered and may not be sent again.
  StartUnanswered,
  /// A copy of the start was refused; another one may have been carried out.
  StartRefused,
};

constexpr const char*
toString(StopCause cause)
{
  switch (cause) {
    case StopCause::JobOver:
      return "job-over";
    case StopCause::Cancelled:
      return "cancelled";
    case StopCause::Suspended:
      return "suspended";
    case StopCause::SubmitterLost:
      return "submitter-lost";
    case StopCause::SubmitterLate:
      return "submitter-late";
    case StopCause::JobFailed:
      return "job-failed";
    case StopCause::Refused:
      return "refused";
    case StopCause::Evacuated:
      return "evacuated";
    case StopCause::TimedOut:
      return "timed-out";
    case StopCause::ExclusiveTimeOver:
      return "exclusive-time-over";
    case StopCause::Unresolved:
      return "unresolved";
    case StopCause::Moved:
      return "moved";
    case StopCause::Stalled:
      return "stalled";
    case StopCause::StartUnanswered:
      return "start-unanswered";
    case StopCause::StartRefused:
      return "start-refused";
  }
  return "other";
}

} // namespace cowslippin
