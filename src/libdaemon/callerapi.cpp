#include "callerapi.h"

#include "incarnations.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cowslippin {

namespace {

constexpr char keyHeader[] = "Idempotency-Key";
constexpr std::size_t longestKey = 200;
constexpr std::int64_t defaultDeadlineMs = 30'000;
constexpr std::int64_t longestWaitMs = 60'000;
constexpr std::int64_t mostTickets = 1000;
constexpr std::size_t jobKeyDigits = 32;
/// The size of a body is limited by the organisation and the template, too.
constexpr ParseLimits bodyLimits{ std::size_t(64) << 20, 64, 4'000'000 };

Result<std::int64_t>
parseNumber(const std::string& field,
            const std::string& text,
            std::int64_t least,
            std::int64_t most)
{
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (text.empty() || error != std::errc() || end != last || value < least ||
      value > most) {
    return failure(Problem::invalidField(field,
                                         text,
                                         "a whole number from " +
                                           std::to_string(least) + " to " +
                                           std::to_string(most)));
  }
  return value;
}

Result<std::int64_t>
numberHeader(const HttpRequest& request,
             const char* name,
             std::int64_t fallback,
             std::int64_t least,
             std::int64_t most)
{
  const auto text = request.header(name);
  if (!text) {
    return fallback;
  }
  return parseNumber(name, *text, least, most);
}

Result<std::int64_t>
numberParameter(const HttpRequest& request,
                const char* name,
                std::int64_t fallback,
                std::int64_t least,
                std::int64_t most)
{
  const auto text = request.queryParameter(name);
  if (!text) {
    return fallback;
  }
  return parseNumber(name, *text, least, most);
}

bool
isPrintable(const std::string& text)
{
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c >= 0x20 && c < 0x7f;
  });
}

/// The caller's key, or nothing when there is none.
Result<std::optional<std::string>>
idempotencyKey(const HttpRequest& request)
{
  const auto text = request.header(keyHeader);
  if (!text) {
    return std::nullopt;
  }
  if (text->empty() || text->size() > longestKey || !isPrintable(*text)) {
    return failure(Problem::invalidField(
      keyHeader, *text, "1 to 200 printable ASCII characters"));
  }
  if (looksLikeTicket(*text)) {
    if (const auto ticket = parseTicket(*text); !ticket) {
      return failure(Problem::invalidField(
        keyHeader, *text, "a ticket as it was issued, or another key"));
    }
  }
  return text;
}

Result<bool>
isRepeatable(const HttpRequest& request, const Template& jobTemplate)
{
  const auto text = request.header("Repeatable");
  if (!text) {
    return jobTemplate.isRepeatable();
  }
  if (*text == "false") {
    return false;
  }
  if (*text == "true" && jobTemplate.isRepeatable()) {
    return true;
  }
  const char* allowed =
    jobTemplate.isRepeatable() ? "true or false" : "false for this template";
  return failure(Problem::invalidField("Repeatable", *text, allowed));
}

/// Whether the text has the form of a job's id.
bool
isJobId(const std::string& id)
{
  if (looksLikeTicket(id)) {
    return parseTicket(id).has_value();
  }
  return id.size() == jobKeyDigits &&
         std::all_of(id.begin(), id.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

Result<SubmissionKey>
jobKey(const PathParameters& path)
{
  const std::string& id = path.get("id");
  if (!isJobId(id)) {
    return failure(
      Problem(ProblemKind::UnknownJob, RunState::NotRun, "No such job")
        .withField("job", id, "the id that a submission returned"));
  }
  return SubmissionKey(id);
}

bool
prefersToWait(const HttpRequest& request)
{
  const auto preference = request.header("Prefer");
  return preference && preference->rfind("wait", 0) == 0;
}

void
setOwnership(SubmissionRequest::Fields& fields,
             const std::string& key,
             const OrganisationName& organisation)
{
  if (looksLikeTicket(key)) {
    fields.ownership = Ownership::Ticket;
    fields.key = SubmissionKey(key);
  } else {
    fields.ownership = Ownership::Claim;
    fields.key = claimedKey(organisation, key);
  }
}

Result<std::vector<std::string>>
parseTasks(const std::string& body, const OrganisationParameters& organisation)
{
  const auto json = parseJson(body, "body", bodyLimits);
  if (!json) {
    return failure(json.error());
  }
  if (!json->is_object()) {
    return failure(Problem(ProblemKind::MalformedBody,
                           RunState::NotRun,
                           "The body is not a JSON object"));
  }
  const nlohmann::json* tasks = findMember(*json, "tasks");
  if (!tasks || !tasks->is_array() || tasks->empty()) {
    const std::string value = tasks ? tasks->type_name() : "";
    return failure(
      Problem::invalidField("tasks", value, "an array of at least one task"));
  }
  const auto most = static_cast<std::size_t>(organisation.maxTasksPerJob());
  if (tasks->size() > most) {
    return failure(
      Problem(ProblemKind::TooManyTasks,
              RunState::NotRun,
              "The job has " + std::to_string(tasks->size()) + " tasks")
        .withField("tasks",
                   std::to_string(tasks->size()),
                   "at most " + std::to_string(most) + " tasks"));
  }
  std::vector<std::string> payloads;
  payloads.reserve(tasks->size());
  for (const nlohmann::json& task : *tasks) {
    payloads.push_back(writeJson(task));
  }
  return payloads;
}

std::optional<Problem>
checkBodySize(const HttpRequest& request, std::size_t most)
{
  if (request.body().size() <= most) {
    return std::nullopt;
  }
  return Problem(ProblemKind::BodyTooLarge,
                 RunState::NotRun,
                 "The body has " + std::to_string(request.body().size()) +
                   " bytes")
    .withField("body",
               std::to_string(request.body().size()) + " bytes",
               "at most " + std::to_string(most) + " bytes");
}

} // namespace

CallerApi::CallerApi(ConfigService& config,
                     SubmissionService& submissions,
                     const Published<WorkerSizes>& workers,
                     Duration longestDeadline)
  : m_config(config)
  , m_submissions(submissions)
  , m_workers(workers)
  , m_longestDeadlineMs(
      std::chrono::floor<std::chrono::milliseconds>(longestDeadline).count())
{
}

void
CallerApi::addRoutes(Router& router)
{
  const std::string target =
    "/v1/organisations/{organisation}/templates/{template}";
  router.add("POST",
             target + "/requests",
             [this](const HttpRequest& request, const PathParameters& path) {
               return submitRequest(request, path);
             });
  router.add("POST",
             target + "/jobs",
             [this](const HttpRequest& request, const PathParameters& path) {
               return submitJob(request, path);
             });
  router.add("GET",
             "/v1/jobs/{id}",
             [this](const HttpRequest&, const PathParameters& path) {
               return jobStatus(path);
             });
  router.add("DELETE",
             "/v1/jobs/{id}",
             [this](const HttpRequest&, const PathParameters& path) {
               return cancelJob(path);
             });
  router.add("GET",
             "/v1/jobs/{id}/answer",
             [this](const HttpRequest& request, const PathParameters& path) {
               return jobAnswer(request, path);
             });
  router.add("POST",
             "/v1/tickets",
             [this](const HttpRequest& request, const PathParameters&) {
               return issueTickets(request);
             });
}

HttpReply
CallerApi::submitRequest(const HttpRequest& request, const PathParameters& path)
{
  const auto parsed = parseRequest(request, path);
  if (!parsed) {
    return problemReply(parsed.error());
  }
  return m_submissions.submit(*parsed, true);
}

HttpReply
CallerApi::submitJob(const HttpRequest& request, const PathParameters& path)
{
  const auto parsed = parseJob(request, path);
  if (!parsed) {
    return problemReply(parsed.error());
  }
  const std::string& key = parsed->key().value();
  return m_submissions.submit(*parsed, prefersToWait(request))
    .withHeader("Cowslippin-Job", key);
}

HttpReply
CallerApi::jobStatus(const PathParameters& path)
{
  const auto key = jobKey(path);
  return key ? m_submissions.status(*key) : problemReply(key.error());
}

HttpReply
CallerApi::jobAnswer(const HttpRequest& request, const PathParameters& path)
{
  const auto key = jobKey(path);
  if (!key) {
    return problemReply(key.error());
  }
  const auto waitMs = numberParameter(request, "waitMs", 0, 0, longestWaitMs);
  if (!waitMs) {
    return problemReply(waitMs.error());
  }
  return m_submissions.answer(*key, std::chrono::milliseconds(*waitMs));
}

HttpReply
CallerApi::cancelJob(const PathParameters& path)
{
  const auto key = jobKey(path);
  return key ? m_submissions.cancel(*key) : problemReply(key.error());
}

HttpReply
CallerApi::issueTickets(const HttpRequest& request)
{
  const auto count = numberParameter(request, "count", 1, 1, mostTickets);
  if (!count) {
    return problemReply(count.error());
  }
  nlohmann::json tickets = nlohmann::json::array();
  for (const Ticket& ticket :
       m_submissions.issueTickets(static_cast<std::size_t>(*count))) {
    tickets.push_back(ticket.toString());
  }
  return HttpReply::json(200, writeJson({ { "tickets", tickets } }));
}

Result<CallerApi::Target>
CallerApi::findTarget(const PathParameters& path) const
{
  if (!m_config.isLoaded()) {
    return failure(Problem(ProblemKind::NotCaughtUp,
                           RunState::NotRun,
                           "No configuration has been read yet")
                     .withRetryAfter(std::chrono::seconds(1)));
  }
  const auto config = m_config.current();
  const std::string& organisation = path.get("organisation");
  const std::string& jobTemplate = path.get("template");
  Target target{ config->findOrganisation(OrganisationName(organisation)),
                 config->findTemplate(TemplateName(jobTemplate)) };
  if (!target.organisation) {
    return failure(
      Problem(ProblemKind::UnknownOrganisation,
              RunState::NotRun,
              "No parameters are published for '" + organisation + "'")
        .withField(
          "organisation", organisation, "an organisation with parameters"));
  }
  if (!target.jobTemplate) {
    return failure(Problem(ProblemKind::UnknownTemplate,
                           RunState::NotRun,
                           "No template '" + jobTemplate + "' is published")
                     .withField("template",
                                jobTemplate,
                                "the name of a published template"));
  }
  if (const auto problem =
        m_workers.get()->check(*target.jobTemplate, *target.organisation)) {
    return failure(*problem);
  }
  return target;
}

Result<SubmissionRequest::Fields>
CallerApi::commonFields(const HttpRequest& request,
                        const Target& target,
                        SubmissionKind kind) const
{
  const auto deadlineMs =
    numberHeader(request,
                 "Deadline-Ms",
                 std::min(defaultDeadlineMs, m_longestDeadlineMs),
                 1,
                 m_longestDeadlineMs);
  if (!deadlineMs) {
    return failure(deadlineMs.error());
  }
  const std::size_t most = std::min(target.organisation->maxBodyBytes(),
                                    target.jobTemplate->maxBodyBytes());
  if (const auto problem = checkBodySize(request, most)) {
    return failure(*problem);
  }
  SubmissionRequest::Fields fields;
  fields.kind = kind;
  fields.organisation = target.organisation;
  fields.jobTemplate = target.jobTemplate;
  fields.deadline = steadyNow() + std::chrono::milliseconds(*deadlineMs);
  fields.fingerprint = fingerprintOf(target.organisation->name(),
                                     target.jobTemplate->name(),
                                     kind,
                                     request.body());
  return fields;
}

Result<SubmissionRequest>
CallerApi::parseRequest(const HttpRequest& request, const PathParameters& path)
{
  const auto target = findTarget(path);
  if (!target) {
    return failure(target.error());
  }
  auto fields = commonFields(request, *target, SubmissionKind::Request);
  if (!fields) {
    return failure(fields.error());
  }
  const auto key = idempotencyKey(request);
  if (!key) {
    return failure(key.error());
  }
  const auto repeatable = isRepeatable(request, *target->jobTemplate);
  if (!repeatable) {
    return failure(repeatable.error());
  }
  fields->repeatable = *repeatable;
  fields->payloads = { request.body() };
  fields->contentType =
    request.header("Content-Type").value_or("application/octet-stream");
  if (*repeatable) {
    fields->ownership = Ownership::None;
    fields->key = SubmissionKey(randomHex128());
  } else if (*key) {
    setOwnership(*fields, **key, target->organisation->name());
  } else {
    return failure(Problem::invalidField(
      keyHeader, "", "a key or ticket, since the request is not repeatable"));
  }
  return SubmissionRequest(std::move(*fields));
}

Result<SubmissionRequest>
CallerApi::parseJob(const HttpRequest& request, const PathParameters& path)
{
  const auto target = findTarget(path);
  if (!target) {
    return failure(target.error());
  }
  auto fields = commonFields(request, *target, SubmissionKind::Job);
  if (!fields) {
    return failure(fields.error());
  }
  const auto key = idempotencyKey(request);
  if (!key) {
    return failure(key.error());
  }
  auto payloads = parseTasks(request.body(), *target->organisation);
  if (!payloads) {
    return failure(payloads.error());
  }
  fields->payloads = std::move(*payloads);
  const std::string text =
    *key ? **key : m_submissions.issueTickets(1).front().toString();
  setOwnership(*fields, text, target->organisation->name());
  return SubmissionRequest(std::move(*fields));
}

} // namespace cowslippin
