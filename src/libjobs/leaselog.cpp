#include "leaselog.h"

#include "libobserve/observe.h"

#include <limits>
#include <optional>
#include <variant>

namespace cowslippin {

namespace {

/// Returns a field that is null if there is no value.
LogField
optionalField(const char* name, std::optional<std::int64_t> value)
{
  return value ? LogField(name, *value)
               : LogField(name, std::numeric_limits<double>::quiet_NaN());
}

LogField
optionalField(const char* name, std::optional<Duration> value)
{
  return optionalField(
    name, value ? std::optional(toMilliseconds(*value)) : std::nullopt);
}

} // namespace

void
logOrphanFound(const WorkerId& worker, const RunKey& key)
{
  logDecision(
    LogLevel::Info,
    "run-found",
    { { "worker", worker }, { "task", key.task() }, { "run", key.run() } });
}

void
logOrphanEnded(const WorkerId& worker, const RunKey& key, RunEnd end)
{
  logDecision(LogLevel::Info,
              "found-run-ended",
              { { "worker", worker },
                { "task", key.task() },
                { "run", key.run() },
                { "end", toString(end) } });
}

void
logStartUnresolved(const WorkerId& worker, const RunKey& key)
{
  logDecision(
    LogLevel::Warning,
    "start-unresolved",
    { { "worker", worker }, { "task", key.task() }, { "run", key.run() } });
}

void
logLeaseEvent(const WorkerId& worker, const OrphanStopped& note)
{
  logDecision(LogLevel::Info,
              "found-run-stopped",
              { { "worker", worker },
                { "task", note.key.task() },
                { "run", note.key.run() },
                { "ageMs", toMilliseconds(note.age) } });
}

void
logLeaseEvent(const WorkerId& worker, const StopFailed& note)
{
  const bool isUnanswered = note.failure == OrderFailure::Unanswered ||
                            note.failure == OrderFailure::NotSent;
  logDecision(LogLevel::Warning,
              isUnanswered ? "stop-unanswered" : "stop-refused",
              { { "worker", worker },
                { "task", note.key.task() },
                { "run", note.key.run() },
                { "reason", toString(note.failure) },
                { "sent", note.attempts },
                { "sinceFirstMs", toMilliseconds(note.sinceFirstAttempt) },
                { "sinceLastMs", toMilliseconds(note.sinceLastAttempt) } });
}

void
logLeaseEvent(const WorkerId& worker, const EndingRunRenewed& note)
{
  logDecision(LogLevel::Warning,
              "lease-renewed-over",
              { { "worker", worker },
                { "task", note.key.task() },
                { "run", note.key.run() },
                { "cause", note.isOrphaned ? "found" : "stopping" },
                { "ageMs", toMilliseconds(note.age) } });
}

void
logLeaseEvent(const WorkerId& worker, const LeaseExpired& note)
{
  IdList tasks;
  for (const RunKey& key : note.runs)
    tasks.add(key.task());
  logDecision(LogLevel::Warning,
              "lease-lapsed",
              { { "worker", worker },
                { "runs", tasks.count() },
                { "tasks", tasks.text() },
                { "sinceReportMs", toMilliseconds(note.sinceLastReport) },
                { "sinceLapseMs", toMilliseconds(note.sinceExpiry) } });
}

void
logLeaseEvent(const WorkerId& worker, const RunPresumedOver& note)
{
  const auto* cause = std::get_if<UnlistedEnd>(&note.cause);
  if (cause == nullptr)
    return;
  std::optional<Duration> sinceRequest;
  std::optional<std::int64_t> pastDeadlineMs;
  if (note.report) {
    sinceRequest = note.report->sinceRequest;
    pastDeadlineMs = note.report->pastDeadlineMs;
  }
  const bool isUnexpected = *cause == UnlistedEnd::Missing;
  logDecision(isUnexpected ? LogLevel::Warning : LogLevel::Info,
              "run-presumed-over",
              { { "worker", worker },
                { "task", note.key.task() },
                { "run", note.key.run() },
                { "token", note.token },
                { "cause", toString(*cause) },
                { "isOrphaned", note.isOrphaned },
                { "sinceStartMs", toMilliseconds(note.sinceStart) },
                optionalField("sinceConfirmedMs", note.sinceConfirmed),
                optionalField("sinceStopAnsweredMs", note.sinceStopAnswered),
                optionalField("sinceRequestMs", sinceRequest),
                optionalField("pastDeadlineMs", pastDeadlineMs) });
}

void
logRunReappeared(const WorkerId& worker,
                 FencingToken token,
                 const RunReappeared& note,
                 const char* state)
{
  logDecision(LogLevel::Warning,
              "run-reappeared",
              { { "worker", worker },
                { "task", note.key.task() },
                { "run", note.key.run() },
                { "token", token },
                { "state", state },
                { "cause", toString(note.cause) },
                { "sincePresumedMs", toMilliseconds(note.sincePresumed) },
                { "previousToken", note.previousToken } });
}

} // namespace cowslippin
