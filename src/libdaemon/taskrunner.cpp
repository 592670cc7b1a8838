#include "taskrunner.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr int attemptsOfRepeatableTask = 3;

/// Attempts that surely did not start are counted too, so a task that is not
/// repeatable gets more than one.
constexpr int attemptsOfOtherTask = 5;

constexpr Duration runEndingRetry = std::chrono::milliseconds(200);
constexpr Duration shortestTimeout = std::chrono::milliseconds(1);

TaskOutcome
outcomeOf(const FinishResult& result, std::optional<TaskAnswer> answer)
{
  if (result.problem()) {
    return failure(*result.problem());
  }
  if (answer) {
    return std::move(*answer);
  }
  return failure(Problem(ProblemKind::OutcomeUnknown,
                         RunState::MayHaveRun,
                         "The attempt ended without an answer"));
}

} // namespace

std::vector<TaskSpec>
taskSpecs(const SubmissionRequest& request, std::size_t count)
{
  TaskSpec::Fields fields;
  fields.organisation = request.organisation().name();
  fields.templateName = request.jobTemplate().name();
  fields.service = request.jobTemplate().service();
  fields.allowedZones = request.organisation().allowedZones();
  fields.repeatable = request.isRepeatable();
  fields.declaredRunTime = request.jobTemplate().declaredRunTime();
  fields.deadline = request.deadline();
  fields.maxAttempts =
    request.isRepeatable() ? attemptsOfRepeatableTask : attemptsOfOtherTask;
  std::vector<TaskSpec> specs;
  specs.reserve(count);
  for (TaskIndex index = 0; index < count; ++index) {
    fields.id = TaskId(request.key(), index);
    specs.emplace_back(fields);
  }
  return specs;
}

AttemptEnd
attemptEndOf(const CallEnd& end)
{
  switch (end.outcome()) {
    case CallOutcome::Answered:
      return AttemptEnd::Answered;
    case CallOutcome::ExplicitlyNotRun:
    case CallOutcome::NotSent:
      return AttemptEnd::NotStarted;
    case CallOutcome::FailedStatus:
      return AttemptEnd::Failed;
    case CallOutcome::SentNoAnswer:
    case CallOutcome::InvalidAnswer:
      break;
  }
  return AttemptEnd::Unknown;
}

TaskRunner::TaskRunner(const DispatchSettings& settings,
                       ZoneName zone,
                       std::uint64_t seed,
                       EndpointClient& client,
                       Metrics& metrics)
  : m_zone(std::move(zone))
  , m_client(client)
  , m_starts(metrics.counter("taskStarts"))
  , m_answers(metrics.counter("taskAnswers"))
  , m_attemptTime(metrics.latency("attempt"))
  , m_dispatcher(settings, seed)
{
  m_timer = std::thread([this] { runTimer(); });
}

TaskRunner::~TaskRunner()
{
  stop();
}

void
TaskRunner::setVms(const VmList& list, const VmId& self)
{
  Work work;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = steadyNow();
    m_endpoints.clear();
    for (const Endpoint& endpoint : list.endpoints()) {
      m_endpoints.emplace(endpoint.id(), endpoint);
    }
    m_dispatcher.setEndpoints(list.endpoints(), m_zone, now);
    m_dispatcher.setDaemons(list.vms(), self, now);
    collectDue(work, now);
  }
  perform(std::move(work));
}

void
TaskRunner::setOrganisation(const OrganisationParameters& parameters)
{
  OrganisationShare::Fields fields;
  fields.urgency = parameters.urgency();
  fields.weight = parameters.weight();
  fields.maxInFlight = parameters.maxInFlight();
  const std::lock_guard lock(m_mutex);
  m_dispatcher.setOrganisation(
    parameters.name(), OrganisationShare(fields), steadyNow());
}

std::optional<Problem>
TaskRunner::submit(const std::shared_ptr<Submission>& submission)
{
  const std::vector<TaskSpec> specs =
    taskSpecs(submission->request(), submission->progress().tasks);
  const SubmissionKey& key = submission->request().key();
  Work work;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = steadyNow();
    if (m_active.count(key) != 0) {
      return Problem(ProblemKind::Overloaded,
                     RunState::NotRun,
                     "An earlier run of this submission is still ending")
        .withRetryAfter(runEndingRetry);
    }
    if (auto problem = m_dispatcher.submitAll(specs, now)) {
      return problem;
    }
    m_active.emplace(key, ActiveSubmission{ submission, specs.size() });
    m_held += specs.size();
    collectDue(work, now);
  }
  perform(std::move(work));
  return std::nullopt;
}

void
TaskRunner::cancel(const SubmissionKey& key)
{
  Work work;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = steadyNow();
    for (const GiveUp& giveUp : m_dispatcher.cancel(key, now)) {
      prepareEnd(giveUp.task(), failure(giveUp.problem()), work);
    }
    collectDue(work, now);
  }
  perform(std::move(work));
}

DispatchStats
TaskRunner::stats() const
{
  const std::lock_guard lock(m_mutex);
  return m_dispatcher.stats();
}

void
TaskRunner::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_wake.notify_all();
  }
  if (m_timer.joinable()) {
    m_timer.join();
  }
}

void
TaskRunner::runTimer()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    if (!m_nextWake) {
      m_wake.wait(lock);
    } else if (steadyNow() < *m_nextWake) {
      const TimePoint until = *m_nextWake;
      m_wake.wait_until(lock, until);
    } else {
      Work work;
      collectDue(work, steadyNow());
      lock.unlock();
      runGuarded("due tasks", [&] { perform(std::move(work)); });
      lock.lock();
    }
  }
}

void
TaskRunner::collectDue(Work& work, TimePoint now)
{
  for (const DispatchAction& action : m_dispatcher.poll(now)) {
    if (const auto* start = std::get_if<Start>(&action)) {
      const auto active = m_active.find(start->task().key());
      if (active == m_active.end()) {
        std::abort();
      }
      std::optional<Endpoint> endpoint;
      const auto found = m_endpoints.find(start->endpoint());
      if (found != m_endpoints.end()) {
        endpoint = found->second;
      }
      work.starts.push_back({ *start, active->second.submission, endpoint });
    } else {
      const auto& giveUp = std::get<GiveUp>(action);
      prepareEnd(giveUp.task(), failure(giveUp.problem()), work);
    }
  }
  const auto wake = m_dispatcher.nextWake();
  const bool isSooner = wake && (!m_nextWake || *wake < *m_nextWake);
  m_nextWake = wake;
  if (isSooner) {
    m_wake.notify_all();
  }
}

void
TaskRunner::prepareEnd(const TaskId& task, TaskOutcome outcome, Work& work)
{
  const auto active = m_active.find(task.key());
  if (active == m_active.end()) {
    return;
  }
  work.ends.push_back(
    { active->second.submission, task.index(), std::move(outcome) });
  --m_held;
  if (--active->second.unended == 0) {
    m_active.erase(active);
  }
}

void
TaskRunner::perform(Work work)
{
  for (const PreparedStart& prepared : work.starts) {
    begin(prepared);
  }
  for (PreparedEnd& prepared : work.ends) {
    const bool cancelRest = prepared.submission->finishTask(
      prepared.index, std::move(prepared.outcome));
    if (cancelRest) {
      cancel(prepared.submission->request().key());
    }
  }
}

void
TaskRunner::begin(const PreparedStart& prepared)
{
  std::optional<std::string> body;
  if (prepared.endpoint) {
    body = prepared.submission->startTask(prepared.start.task().index());
  }
  if (!body) {
    refuseStart(prepared);
    return;
  }
  m_starts.add();
  const Start start = prepared.start;
  const std::shared_ptr<Submission> submission = prepared.submission;
  m_client.call(makeCall(prepared, std::move(*body), steadyNow()),
                [this, start, submission](const CallEnd& end) {
                  callEnded(start, submission, end);
                });
}

void
TaskRunner::refuseStart(const PreparedStart& prepared)
{
  if (prepared.endpoint) {
    // The submission has ended or may not start: none of its tasks goes on.
    cancel(prepared.start.task().key());
  }
  AttemptReport report;
  report.endpoint = prepared.start.endpoint();
  report.attempt = prepared.start.attempt();
  report.end = AttemptEnd::NotStarted;
  reportEnd(prepared.start, report, std::nullopt);
}

void
TaskRunner::callEnded(const Start& start,
                      const std::shared_ptr<Submission>& submission,
                      const CallEnd& end)
{
  m_attemptTime.record(end.elapsed());
  AttemptReport report;
  report.endpoint = start.endpoint();
  report.attempt = start.attempt();
  report.end = attemptEndOf(end);
  report.runTime = end.elapsed();
  report.slotsFree = end.slotsFree();
  report.isConnectionSilent = end.outcome() == CallOutcome::SentNoAnswer &&
                              end.endpointReachable().value_or(false);
  std::optional<TaskAnswer> answer;
  if (report.end == AttemptEnd::Answered) {
    m_answers.add();
    answer.emplace(end.contentType(), end.body());
  }
  if (report.end == AttemptEnd::NotStarted) {
    submission->taskNotStarted();
  }
  reportEnd(start, report, std::move(answer));
}

void
TaskRunner::reportEnd(const Start& start,
                      const AttemptReport& report,
                      std::optional<TaskAnswer> answer)
{
  Work work;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = steadyNow();
    const FinishResult result =
      m_dispatcher.finished(start.task(), report, now);
    if (result.kind() == FinishKind::TaskEnds) {
      prepareEnd(start.task(), outcomeOf(result, std::move(answer)), work);
    }
    collectDue(work, now);
  }
  perform(std::move(work));
}

EndpointCall
TaskRunner::makeCall(const PreparedStart& prepared,
                     std::string body,
                     TimePoint now) const
{
  const SubmissionRequest& request = prepared.submission->request();
  const TaskId& task = prepared.start.task();
  EndpointCall::Fields fields(*prepared.endpoint);
  fields.path = request.jobTemplate().path();
  fields.contentType = request.contentType();
  fields.body = std::move(body);
  fields.headers = {
    { "Cowslippin-Task",
      task.key().value() + "/" + std::to_string(task.index()) },
    { "Cowslippin-Attempt", std::to_string(prepared.start.attempt()) },
  };
  const Duration left = request.deadline() - now;
  fields.timeout = std::max(
    shortestTimeout, std::min(left, request.jobTemplate().taskTimeout()));
  return EndpointCall(std::move(fields));
}

} // namespace cowslippin
