#include "overloadguard.h"

#include "gateway.h"

#include "libobserve/observe.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Reasons of refusals, as metrics show them.
constexpr const char* overloadReason = "overload";
constexpr const char* tooLateReason = "too-late";
constexpr const char* holderOverloadReason = "holder-overload";

} // namespace

void
OverloadGuard::tick(const Backlog& backlog, TimePoint now)
{
  m_lag.tick(now);
  const Duration wait = processorWait(backlog.waitingTasks, now);
  m_relief.tick(wait, now);
  logChange(m_control.tick(wait, now), backlog, now);
}

void
OverloadGuard::reset()
{
  m_lag.reset();
  m_control.reset();
  m_relief.reset();
}

std::optional<DoorRefusal>
OverloadGuard::refuseUndecoded(const JobId& job,
                               const QueuePolicy& policy,
                               TimePoint now)
{
  if (m_control.admit(policy.queue, now) || m_isInProgress(job, now))
    return std::nullopt;
  return refuse(job, policy.queue, overloadReason, now);
}

std::optional<DoorRefusal>
OverloadGuard::refuseDecoded(const JobSubmission& submission,
                             Duration readDelay,
                             TimePoint now)
{
  const QueuePolicy& policy = submission.policy;
  const int urgency = std::max(m_leastUrgentPriority - policy.priority, 0);
  m_control.jobDecoded(policy.queue,
                       static_cast<unsigned>(urgency),
                       submission.needs,
                       submission.taskCount);
  if (!m_control.isTooLate(policy, submission.needs, readDelay) ||
      m_isInProgress(submission.job, now))
    return std::nullopt;
  return refuse(submission.job, policy.queue, tooLateReason, now);
}

std::optional<JobEnd>
OverloadGuard::refuseSubmitted(const JobRequest& request)
{
  if (!m_relief.refuses(request))
    return std::nullopt;
  ++m_refusals[{ request.policy.queue, holderOverloadReason }];
  logEvent(LogLevel::Info,
           "submission-refused",
           { { "job", request.key.job() },
             { "submitter", request.key.submitter() },
             { "reason", holderOverloadReason } });
  return JobEnd{ JobOutcome::Refused, m_relief.retryAfter(), {}, 1 };
}

/// How long a job waits here for the processor: until it is read, and, if the
/// event loop is late, until its tasks are started. Otherwise tasks wait for
/// workers, which isn't an overload of this daemon.
Duration
OverloadGuard::processorWait(std::size_t waitingTasks, TimePoint now) const
{
  const Duration lag = m_lag.mean();
  if (lag < AdmittedShare::Settings().targetLag)
    return lag;
  return lag + m_startWait.expected(waitingTasks, now);
}

void
OverloadGuard::logChange(OverloadControl::Change change,
                         const Backlog& backlog,
                         TimePoint now)
{
  if (change == OverloadControl::Change::Began) {
    m_beganAt = now;
    logDecision(LogLevel::Warning,
                "overload-began",
                { { "lagMs", toMilliseconds(m_lag.mean()) },
                  { "admittedPercent", int(m_control.share() * 100) },
                  { "callersWaiting", backlog.callersWaiting },
                  { "jobsScheduled", backlog.jobsScheduled } });
  } else if (change == OverloadControl::Change::Ended) {
    std::uint64_t refused = 0;
    for (const auto& [queueAndReason, count] : m_refusals)
      refused += count;
    logDecision(LogLevel::Info,
                "overload-ended",
                { { "lastedMs", toMilliseconds(now - m_beganAt) },
                  { "lagMs", toMilliseconds(m_lag.mean()) },
                  { "refusedSinceStart", refused } });
  }
}

DoorRefusal
OverloadGuard::refuse(const JobId& job,
                      const std::string& queue,
                      const char* reason,
                      TimePoint now)
{
  ++m_refusals[{ queue, reason }];
  DoorRefusal refusal{
    m_control.retryAfter(),
    "the daemon is overloaded; nothing of this submission has run",
    m_control.closesConnections(now)
  };
  logEvent(LogLevel::Info,
           "job-refused-at-door",
           { { "job", job },
             { "queue", queue },
             { "reason", reason },
             { "retryAfterMs", toMilliseconds(refusal.retryAfter) } });
  return refusal;
}

} // namespace cowslippin
