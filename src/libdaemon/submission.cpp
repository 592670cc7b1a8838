#include "submission.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

constexpr char ranHeader[] = "Cowslippin-Ran";
constexpr ParseLimits answerLimits{ std::size_t(64) << 20, 64, 4'000'000 };

bool
isJson(const TaskAnswer& answer)
{
  return answer.contentType().rfind("application/json", 0) == 0;
}

/// A task's answer as a member of its job's answer: JSON within the limits as
/// it is, anything else as a string.
nlohmann::json
answerToJson(const TaskAnswer& answer)
{
  if (isJson(answer)) {
    auto parsed = parseJson(answer.body(), "answer", answerLimits);
    if (parsed) {
      return std::move(*parsed);
    }
  }
  return answer.body();
}

} // namespace

Submission::Submission(const SubmissionRequest& request,
                       StartPermission permission)
  : m_request(request.withoutPayloads())
  , m_permission(std::move(permission))
  , m_payloads(request.payloads())
  , m_answers(m_payloads.size())
{
  m_progress.tasks = m_payloads.size();
}

SubmissionProgress
Submission::progress() const
{
  const std::lock_guard lock(m_mutex);
  return m_progress;
}

bool
Submission::activate()
{
  const std::lock_guard lock(m_mutex);
  if (m_progress.phase != SubmissionPhase::Claiming) {
    return false;
  }
  m_progress.phase = SubmissionPhase::Active;
  m_changed.notify_all();
  return true;
}

void
Submission::moveElsewhere(OwnerRef owner)
{
  const std::lock_guard lock(m_mutex);
  if (m_progress.phase != SubmissionPhase::Claiming) {
    return;
  }
  m_progress.phase = SubmissionPhase::Elsewhere;
  m_elsewhere = std::move(owner);
  m_changed.notify_all();
}

std::optional<OwnerRef>
Submission::elsewhere() const
{
  const std::lock_guard lock(m_mutex);
  return m_elsewhere;
}

std::optional<std::string>
Submission::startTask(TaskIndex index)
{
  const std::lock_guard lock(m_mutex);
  if (m_progress.phase != SubmissionPhase::Active) {
    return std::nullopt;
  }
  if (!m_permitted) {
    m_permitted = !m_permission || m_permission();
  }
  if (!m_permitted) {
    return std::nullopt;
  }
  ++m_progress.started;
  return m_payloads[index];
}

void
Submission::taskNotStarted()
{
  const std::lock_guard lock(m_mutex);
  --m_progress.started;
}

bool
Submission::finishTask(TaskIndex index, TaskOutcome outcome)
{
  std::optional<Ending> ending;
  bool endedEarly = false;
  {
    const std::lock_guard lock(m_mutex);
    if (m_progress.phase != SubmissionPhase::Active) {
      return false;
    }
    if (!outcome) {
      endedEarly = m_progress.finished + 1 < m_progress.tasks;
      ending = endWithProblem(failureOf(outcome.error()));
    } else if (!m_answers[index]) {
      m_answers[index] = std::move(*outcome);
      ++m_progress.finished;
      if (m_progress.finished == m_progress.tasks) {
        ending = endWith(answerReply(), std::nullopt);
      }
    }
  }
  run(std::move(ending));
  return endedEarly;
}

bool
Submission::fail(const Problem& problem)
{
  std::optional<Ending> ending;
  {
    const std::lock_guard lock(m_mutex);
    ending = endWithProblem(failureOf(problem));
  }
  const bool ended = ending.has_value();
  run(std::move(ending));
  return ended;
}

bool
Submission::cancel()
{
  std::optional<Ending> ending;
  {
    const std::lock_guard lock(m_mutex);
    if (m_progress.phase == SubmissionPhase::Ended) {
      return false;
    }
    m_progress.cancelled = true;
    ending = endWithProblem(failureOf(
      Problem(ProblemKind::Cancelled, RunState::NotRun, "It was cancelled")));
  }
  const bool ended = ending.has_value();
  run(std::move(ending));
  return ended;
}

std::optional<HttpReply>
Submission::reply() const
{
  const std::lock_guard lock(m_mutex);
  return m_reply;
}

std::optional<Problem>
Submission::problem() const
{
  const std::lock_guard lock(m_mutex);
  return m_problem;
}

HttpReply
Submission::statusReply(int status) const
{
  const SubmissionProgress now = progress();
  const nlohmann::json json = {
    { "job", m_request.key().value() },
    { "state", std::string(stateWord(now)) },
    { "tasks", now.tasks },
    { "finished", now.finished },
  };
  return HttpReply::json(status, writeJson(json))
    .withHeader("Location", "/v1/jobs/" + m_request.key().value());
}

bool
Submission::waitSettled(TimePoint until) const
{
  std::unique_lock lock(m_mutex);
  return m_changed.wait_until(lock, until, [this] {
    return m_progress.phase != SubmissionPhase::Claiming;
  });
}

bool
Submission::waitEnded(TimePoint until) const
{
  std::unique_lock lock(m_mutex);
  return m_changed.wait_until(lock, until, [this] {
    return m_progress.phase == SubmissionPhase::Ended ||
           m_progress.phase == SubmissionPhase::Elsewhere;
  });
}

void
Submission::whenEnded(const EndHook& hook)
{
  std::optional<HttpReply> ended;
  {
    const std::lock_guard lock(m_mutex);
    if (m_progress.phase == SubmissionPhase::Ended) {
      ended = m_reply;
    } else {
      m_hooks.push_back(hook);
    }
  }
  if (ended) {
    hook(*ended);
  }
}

void
Submission::expireAnswer()
{
  const std::lock_guard lock(m_mutex);
  if (!m_reply || m_problem) {
    return;
  }
  m_problem = Problem(ProblemKind::AnswerExpired,
                      RunState::Completed,
                      "It ran; its answer is no longer kept");
  m_reply = problemReply(*m_problem);
}

std::size_t
Submission::replySize() const
{
  const std::lock_guard lock(m_mutex);
  return m_reply ? m_reply->body().size() : 0;
}

std::optional<Submission::Ending>
Submission::endWith(HttpReply reply, std::optional<Problem> problem)
{
  if (m_progress.phase == SubmissionPhase::Ended ||
      m_progress.phase == SubmissionPhase::Elsewhere) {
    return std::nullopt;
  }
  m_progress.phase = SubmissionPhase::Ended;
  m_progress.failed = problem.has_value();
  m_problem = std::move(problem);
  m_reply = reply;
  m_answers.clear();
  m_payloads.clear();
  m_payloads.shrink_to_fit();
  m_changed.notify_all();
  return Ending{ std::move(reply), std::exchange(m_hooks, {}) };
}

std::optional<Submission::Ending>
Submission::endWithProblem(const Problem& problem)
{
  return endWith(problemReply(problem), problem);
}

HttpReply
Submission::answerReply() const
{
  const std::string ran(toString(RunState::Completed));
  if (m_request.kind() == SubmissionKind::Request) {
    const TaskAnswer& answer = *m_answers.front();
    HttpReply::Fields fields;
    fields.contentType = answer.contentType();
    fields.body = answer.body();
    return HttpReply(std::move(fields)).withHeader(ranHeader, ran);
  }
  nlohmann::json answers = nlohmann::json::array();
  for (const std::optional<TaskAnswer>& answer : m_answers) {
    answers.push_back(answerToJson(*answer));
  }
  const nlohmann::json json = { { "job", m_request.key().value() },
                                { "state", "complete" },
                                { "answers", std::move(answers) } };
  return HttpReply::json(200, writeJson(json)).withHeader(ranHeader, ran);
}

Problem
Submission::failureOf(const Problem& taskProblem) const
{
  if (taskProblem.ran() != RunState::NotRun || m_progress.started == 0) {
    return taskProblem;
  }
  return taskProblem.withRan(RunState::MayHaveRun);
}

void
Submission::run(std::optional<Ending> ending)
{
  if (!ending) {
    return;
  }
  for (const auto& hook : ending->hooks) {
    hook(ending->reply);
  }
}

std::string_view
stateWord(const SubmissionProgress& progress)
{
  if (progress.cancelled) {
    return "cancelled";
  }
  switch (progress.phase) {
    case SubmissionPhase::Claiming:
    case SubmissionPhase::Elsewhere:
      return "queued";
    case SubmissionPhase::Active:
      return progress.started == 0 ? "queued" : "running";
    case SubmissionPhase::Ended:
      break;
  }
  return progress.failed ? "failed" : "complete";
}

} // namespace cowslippin
