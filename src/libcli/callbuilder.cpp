#include "callbuilder.h"

#include "jsontext.h"

namespace cowslippin {

namespace {

constexpr char jsonContentType[] = "application/json";
constexpr char otherContentType[] = "application/octet-stream";

const char*
contentTypeOf(const std::string& body)
{
  return parseJson(body, "body", cliLimits) ? jsonContentType
                                            : otherContentType;
}

std::string
inMilliseconds(Duration duration)
{
  return std::to_string(toMilliseconds(duration));
}

HttpCall
get(std::string path)
{
  HttpCall::Fields fields;
  fields.path = std::move(path);
  return HttpCall(std::move(fields));
}

std::string
jobPath(const Command& command)
{
  return "/v1/jobs/" + encodeSegment(command.name());
}

HttpCall
buildPut(const Command& command, const std::string& collection)
{
  HttpCall::Fields fields;
  fields.method = "PUT";
  fields.path = "/v1/config/" + collection + encodeSegment(command.name());
  fields.headers = { { "Content-Type", jsonContentType },
                     { "If-Match", std::to_string(command.revision()) } };
  fields.body = command.body();
  return HttpCall(std::move(fields));
}

/// What requests and jobs have in common.
HttpCall::Fields
submission(const Command& command, const std::string& collection)
{
  HttpCall::Fields fields;
  fields.method = "POST";
  fields.path = "/v1/organisations/" + encodeSegment(command.organisation()) +
                "/templates/" + encodeSegment(command.name()) + collection;
  fields.headers = { { "Idempotency-Key", command.key() } };
  if (command.deadline()) {
    fields.headers.emplace_back("Deadline-Ms",
                                inMilliseconds(*command.deadline()));
  }
  fields.body = command.body();
  return fields;
}

HttpCall
buildRequest(const Command& command)
{
  HttpCall::Fields fields = submission(command, "/requests");
  fields.headers.emplace_back("Content-Type", contentTypeOf(command.body()));
  if (command.isNotRepeatable()) {
    fields.headers.emplace_back("Repeatable", "false");
  }
  return HttpCall(std::move(fields));
}

HttpCall
buildJob(const Command& command)
{
  HttpCall::Fields fields = submission(command, "/jobs");
  fields.headers.emplace_back("Content-Type", jsonContentType);
  if (command.waitsForAnswer()) {
    fields.headers.emplace_back("Prefer", "wait");
  }
  return HttpCall(std::move(fields));
}

HttpCall
buildAnswer(const Command& command)
{
  HttpCall::Fields fields;
  fields.path = jobPath(command) + "/answer";
  fields.query = "waitMs=" + inMilliseconds(command.wait());
  return HttpCall(std::move(fields));
}

HttpCall
buildCancel(const Command& command)
{
  HttpCall::Fields fields;
  fields.method = "DELETE";
  fields.path = jobPath(command);
  return HttpCall(std::move(fields));
}

HttpCall
buildTickets(const Command& command)
{
  HttpCall::Fields fields;
  fields.method = "POST";
  fields.path = "/v1/tickets";
  fields.query = "count=" + std::to_string(command.count());
  return HttpCall(std::move(fields));
}

} // namespace

HttpCall
buildCall(const Command& command)
{
  switch (command.kind()) {
    case CommandKind::PutTemplate:
      return buildPut(command, "templates/");
    case CommandKind::PutOrganisation:
      return buildPut(command, "organisations/");
    case CommandKind::SendRequest:
      return buildRequest(command);
    case CommandKind::SubmitJob:
      return buildJob(command);
    case CommandKind::ShowJob:
      return get(jobPath(command));
    case CommandKind::ShowAnswer:
      return buildAnswer(command);
    case CommandKind::CancelJob:
      return buildCancel(command);
    case CommandKind::DrawTickets:
      return buildTickets(command);
    case CommandKind::ShowDump:
      return get("/v1/dump");
    case CommandKind::ShowMetrics:
      return get("/v1/metrics");
    case CommandKind::ShowOffsets:
    case CommandKind::ShowVms:
    case CommandKind::ShowEndpoints:
      return vmsCall();
    case CommandKind::ShowConfig:
      break;
  }
  return configCall();
}

HttpCall
vmsCall()
{
  return get("/v1/vms");
}

HttpCall
configCall()
{
  return get("/v1/config");
}

} // namespace cowslippin
