#include "simulation.h"
#include "simulationtimes.h"

#include <algorithm>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// Time after which a caller submits its job again, if its connection broke or
/// the outcome of the job is unknown.
constexpr Duration resubmitDelay = milliseconds(1300);
/// How long a caller waits for an answer while the network is cut: at least
/// this, and less than this and the second time.
constexpr Duration minPatience = milliseconds(200);
constexpr unsigned patienceRangeMs = 1300;
/// How often a caller submits a job, the first submission included.
constexpr unsigned maxSubmissions = 5;

} // namespace

void
Simulation::scheduleNextSubmission()
{
  const double seconds =
    std::exponential_distribution<>(m_jobsPerSecond)(m_random);
  schedule(Duration(std::int64_t(seconds * 1e6)), [this] {
    submitNewJob();
    scheduleNextSubmission();
  });
}

void
Simulation::submitNewJob()
{
  const JobId job("job" + std::to_string(++m_lastJob));
  const bool isLong = randomBelow(5) == 0 && m_settings.hasLongTasks;
  const unsigned taskMs = isLong ? 500 + randomBelow(m_settings.maxTaskMs - 500)
                                 : 40 + randomBelow(160);
  const std::int64_t cpu = 5000 + std::int64_t(randomBelow(4000));
  Caller caller;
  caller.submission.job = job;
  caller.submission.policy.queue = taskMs < 300 ? "short" : "long";
  caller.submission.policy.service = ServiceName("booking");
  caller.submission.policy.maxAttempts = 3;
  caller.submission.policy.stretch = 1.6;
  caller.submission.policy.target = milliseconds(60);
  caller.submission.needs.resources = Resources(cpu, 10, 0);
  caller.submission.needs.estimate = milliseconds(taskMs);
  caller.submission.spec = std::to_string(taskMs) + "," + std::to_string(cpu);
  caller.submission.taskPrefix = job.value() + ".0.0.";
  caller.submission.taskCount = 1 + static_cast<unsigned>(randomBelow(6));
  caller.submission.timeLeft = milliseconds(5 * (2 * taskMs + 60));
  caller.submittedAt = m_now;
  m_callers[job] = caller;
  ++m_submitted;
  submit(job, randomBelow(m_nodes.size()));
}

void
Simulation::submit(const JobId& job, std::size_t daemon)
{
  Caller& caller = m_callers.at(job);
  for (std::size_t tried = 0; !m_nodes[daemon].isAlive; ++tried) {
    if (tried == m_nodes.size()) {
      m_callers.erase(job);
      ++m_unknown;
      return;
    }
    daemon = (daemon + 1) % m_nodes.size();
  }
  caller.daemon = daemon;
  caller.daemonIncarnation = m_nodes[daemon].incarnation;
  caller.isWaiting = true;
  caller.ticket = std::make_shared<Gateway::CallerId>(0);
  const unsigned attempt = ++caller.attempt;
  const auto done = [this, daemon, job, attempt](const JobAnswer& answer) {
    if (m_now >= m_nodes[daemon].callersCutUntil)
      schedule(oneWayDelay, [this, job, attempt, answer] {
        answered(job, attempt, answer);
      });
  };
  const auto read = [this,
                     daemon,
                     sentAt = m_now,
                     submission = caller.submission,
                     ticket = caller.ticket,
                     done] {
    JobSubmission received = submission;
    received.maxAge = m_now - sentAt;
    if (!refuseAtDoor(daemon, received, done))
      *ticket = m_nodes[daemon].core->submit(received, done);
  };
  if (m_now < m_nodes[daemon].callersCutUntil)
    giveUpLater(job);
  deliverUncut(daemon, caller.daemonIncarnation, read);
}

/// Whether the daemon refuses a job on arrival, as its server for callers does.
bool
Simulation::refuseAtDoor(std::size_t daemon,
                         const JobSubmission& submission,
                         const Gateway::AnswerCallback& done)
{
  EntryCore& core = *m_nodes[daemon].core;
  auto refusal = core.refuseUndecoded(submission.job, submission.policy);
  if (!refusal) {
    charge(daemon, processortime::admittedRequest);
    refusal = core.refuseDecoded(submission);
  }
  if (refusal)
    done({ JobAnswer::Kind::NotRun, refusal->retryAfter, refusal->reason });
  return refusal.has_value();
}

/// Something that a caller sends arrives at a daemon when the network between
/// them isn't cut.
void
Simulation::deliverUncut(std::size_t daemon,
                         unsigned incarnation,
                         const Action& action)
{
  const Duration heldFor = m_nodes[daemon].callersCutUntil - m_now;
  if (heldFor <= Duration::zero())
    deliver(daemon, incarnation, action, processortime::refusedRequest);
  else
    schedule(heldFor, [this, daemon, incarnation, action] {
      deliverUncut(daemon, incarnation, action);
    });
}

void
Simulation::cutCallers(std::size_t daemon,
                       Duration duration,
                       bool losesDisconnects)
{
  m_nodes[daemon].callersCutUntil =
    std::max(m_nodes[daemon].callersCutUntil, m_now + duration);
  m_nodes[daemon].losesDisconnects = losesDisconnects;
  for (const auto& [job, caller] : m_callers) {
    if (caller.isWaiting && caller.daemon == daemon)
      giveUpLater(job);
  }
}

void
Simulation::giveUpLater(const JobId& job)
{
  schedule(
    minPatience + milliseconds(randomBelow(patienceRangeMs)),
    [this, job, attempt = m_callers.at(job).attempt] { giveUp(job, attempt); });
}

void
Simulation::giveUp(const JobId& job, unsigned attempt)
{
  const auto found = m_callers.find(job);
  if (found == m_callers.end() || !found->second.isWaiting ||
      found->second.attempt != attempt)
    return;
  Caller& caller = found->second;
  const Node& node = m_nodes[caller.daemon];
  if (!node.losesDisconnects)
    deliverUncut(caller.daemon,
                 caller.daemonIncarnation,
                 [this, daemon = caller.daemon, ticket = caller.ticket] {
                   m_nodes[daemon].core->callerDisconnected(*ticket);
                 });
  caller.isWaiting = false;
  caller.wasAlwaysRefused = false;
  if (caller.attempt < maxSubmissions)
    scheduleResubmission(job);
}

void
Simulation::disconnectCallers(std::size_t daemon, Duration detectionDelay)
{
  if (!m_nodes[daemon].isAlive)
    return;
  for (const auto& [job, caller] : m_callers) {
    if (!caller.isWaiting || caller.daemon != daemon)
      continue;
    schedule(oneWayDelay + detectionDelay,
             [this,
              daemon,
              incarnation = caller.daemonIncarnation,
              ticket = caller.ticket] {
               deliver(daemon, incarnation, [this, daemon, ticket] {
                 m_nodes[daemon].core->callerDisconnected(*ticket);
               });
             });
  }
  resubmitJobsOf(daemon);
}

/// The callers that wait at a daemon submit their jobs again, at any daemon.
void
Simulation::resubmitJobsOf(std::size_t daemon)
{
  for (auto& [job, caller] : m_callers) {
    if (!caller.isWaiting || caller.daemon != daemon)
      continue;
    caller.isWaiting = false;
    caller.wasAlwaysRefused = false;
    scheduleResubmission(job);
  }
}

void
Simulation::scheduleResubmission(const JobId& job)
{
  schedule(resubmitDelay, [this, job] {
    if (m_callers.count(job) > 0)
      submit(job, randomBelow(m_nodes.size()));
  });
}

void
Simulation::answered(const JobId& job,
                     unsigned attempt,
                     const JobAnswer& answer)
{
  const auto found = m_callers.find(job);
  if (found == m_callers.end() || !found->second.isWaiting)
    return;
  Caller& caller = found->second;
  if (caller.attempt != attempt)
    return;
  caller.isWaiting = false;
  switch (answer.kind) {
    case JobAnswer::Kind::Completed:
      ++m_completed;
      if (isInTime(caller))
        ++m_completedInTime[m_nodes[caller.daemon].zone];
      m_callers.erase(found);
      return;
    case JobAnswer::Kind::Failed:
      ++m_failed;
      m_callers.erase(found);
      return;
    case JobAnswer::Kind::NotRun:
      ++m_refused;
      caller.isRefused = caller.wasAlwaysRefused;
      if (caller.wasAlwaysRefused && caller.hasStarted)
        recordViolation("refused though it had run: " + job.value());
      return;
    case JobAnswer::Kind::Unknown:
      ++m_unknown;
      caller.wasAlwaysRefused = false;
      if (m_settings.hasResubmittingCallers && caller.attempt < maxSubmissions)
        scheduleResubmission(job);
      else
        m_callers.erase(found);
      return;
  }
}

bool
Simulation::isInTime(const Caller& caller) const
{
  constexpr double worthlessFactor = 3;
  const JobSubmission& submission = caller.submission;
  const double ideal =
    double(submission.needs.estimate.count()) * submission.policy.stretch +
    double(submission.policy.target.count());
  return double((m_now - caller.submittedAt).count()) <=
         worthlessFactor * ideal;
}

unsigned
Simulation::completedInTime(unsigned zone) const
{
  const auto found = m_completedInTime.find(zone);
  return found == m_completedInTime.end() ? 0 : found->second;
}

unsigned
Simulation::waitingCallers() const
{
  return static_cast<unsigned>(
    std::count_if(m_callers.begin(), m_callers.end(), [](const auto& item) {
      return item.second.isWaiting;
    }));
}

} // namespace cowslippin::testing
