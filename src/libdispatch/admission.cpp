#include "admission.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double longestWaitSeconds = 86400;

Problem
notRun(ProblemKind kind, std::string detail)
{
  return Problem(kind, RunState::NotRun, std::move(detail));
}

} // namespace

std::optional<Problem>
Admission::refusal(const TaskRecord& task,
                   const ServiceRecord& service,
                   const Lane& lane,
                   const State& state,
                   TimePoint now) const
{
  if (auto problem = noEndpoint(service, lane, state.listKnown, now)) {
    return problem;
  }
  if (auto problem = deadlineTooShort(task, service, lane, now)) {
    return problem;
  }
  return fullQueue(service, lane, state.queued);
}

std::optional<Problem>
Admission::noEndpoint(const ServiceRecord& service,
                      const Lane& lane,
                      bool listKnown,
                      TimePoint now) const
{
  const EndpointPool& pool = service.pool;
  if (listKnown && pool.listedIn(lane.zones()) == 0) {
    return notRun(ProblemKind::CanNeverRun,
                  "No endpoint of service '" + service.name.value() +
                    "' is in an allowed zone.");
  }
  if (pool.healthyIn(lane.zones()) > 0) {
    return std::nullopt;
  }
  const std::optional<TimePoint> probe = pool.nextProbe(lane.zones());
  if (probe && *probe <= now) {
    return std::nullopt;
  }
  const Duration wait = probe ? *probe - now : m_settings.noEndpointPatience;
  return notRun(ProblemKind::NoEndpoint,
                "No endpoint of service '" + service.name.value() +
                  "' in the allowed zones takes work at present.")
    .withRetryAfter(boundedRetryAfter(wait));
}

std::optional<Problem>
Admission::fullQueue(const ServiceRecord& service,
                     const Lane& lane,
                     std::size_t queued) const
{
  const OrganisationRecord& organisation = lane.organisation();
  if (queued >= m_settings.maxQueued) {
    const double tasks = static_cast<double>(service.queue.size());
    return notRun(ProblemKind::Overloaded, "The queue is full.")
      .withRetryAfter(boundedRetryAfter(timeToDrain(tasks, service, lane)));
  }
  const double most = m_settings.organisationQueueShare *
                      static_cast<double>(m_settings.maxQueued);
  if (static_cast<double>(organisation.queued) >= most) {
    const double share = service.queue.shareOf(lane);
    const double tasks = static_cast<double>(organisation.queued) / share;
    return notRun(ProblemKind::OverQuota,
                  "The organisation fills its part of the queue.")
      .withRetryAfter(boundedRetryAfter(timeToDrain(tasks, service, lane)));
  }
  return std::nullopt;
}

std::optional<Problem>
Admission::deadlineTooShort(const TaskRecord& task,
                            const ServiceRecord& service,
                            const Lane& lane,
                            TimePoint now) const
{
  const std::optional<TimePoint>& deadline = task.spec.deadline();
  if (!deadline) {
    return std::nullopt;
  }
  const TemplateRecord& templateRecord = *task.templateRecord;
  // With none of it running nothing could be learned, so one is let through.
  const bool isRunTimeKnown =
    templateRecord.runTime.isLearned() && templateRecord.inFlight > 0;
  const Duration wait = expectedWait(task, service, lane);
  Duration runTime = Duration::zero();
  if (isRunTimeKnown) {
    // The longer the queue, the better a slot is spent on one that will do.
    runTime = templateRecord.runTime.mean() +
              std::min(wait, templateRecord.runTime.margin());
  }
  if (now < *deadline && now + wait + runTime <= *deadline) {
    return std::nullopt;
  }
  return notRun(ProblemKind::DeadlineTooShort,
                "The tasks in front of it leave too little time.")
    .withRetryAfter(boundedRetryAfter(wait));
}

Duration
Admission::expectedWait(const TaskRecord& task,
                        const ServiceRecord& service,
                        const Lane& lane) const
{
  const FairQueue& queue = service.queue;
  const OrganisationRecord& organisation = lane.organisation();
  if (!organisation.mayStart()) {
    const double turns = static_cast<double>(organisation.queued + 1) /
                         std::max(1, organisation.share.maxInFlight());
    const double runTime =
      static_cast<double>(task.templateRecord->runTime.mean().count());
    return Duration(std::llround(turns * runTime));
  }
  if (queue.size() == 0 && service.pool.hasRoom(lane.zones())) {
    return Duration::zero();
  }
  const double own = static_cast<double>(lane.aheadOf(task.urgency));
  const double all = static_cast<double>(queue.size());
  const double ahead = std::min(all, own / queue.shareOf(lane));
  return timeToDrain(ahead, service, lane);
}

double
Admission::startsPerSecond(const ServiceRecord& service, const Lane& lane) const
{
  const std::optional<double> measured = service.drainRate.perSecond();
  if (measured && service.queue.size() > 0) {
    return *measured;
  }
  const double runTime =
    static_cast<double>(service.typicalRunTime.mean().count());
  const int slots = std::max(1, service.pool.slotsIn(lane.zones()));
  return slots * microsecondsPerSecond / std::max(1.0, runTime);
}

Duration
Admission::timeToDrain(double tasks,
                       const ServiceRecord& service,
                       const Lane& lane) const
{
  const double seconds = tasks / startsPerSecond(service, lane);
  const double bounded = std::min(seconds, longestWaitSeconds);
  return Duration(std::llround(bounded * microsecondsPerSecond));
}

Duration
Admission::boundedRetryAfter(Duration wait) const
{
  return std::clamp(
    wait, m_settings.shortestRetryAfter, m_settings.longestRetryAfter);
}

} // namespace cowslippin
