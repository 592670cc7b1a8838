#include "renderer.h"

#include "jsontext.h"
#include "texttable.h"

#include <algorithm>
#include <sstream>

namespace cowslippin {

namespace {

constexpr int firstErrorStatus = 400;
constexpr int acceptedStatus = 202;
constexpr int jsonIndent = 2;

/// A heading of a table and the JSON member that fills its column.
struct Column
{
  const char* heading;
  const char* member;
};

const std::vector<Column> templateColumns = {
  { "TEMPLATE", "name" },           { "REVISION", "revision" },
  { "SERVICE", "service" },         { "PATH", "path" },
  { "REPEATABLE", "repeatable" },   { "RUN TIME MS", "declaredRunTimeMs" },
  { "TIMEOUT MS", "taskTimeoutMs" }
};

const std::vector<Column> organisationColumns = {
  { "ORGANISATION", "name" },        { "REVISION", "revision" },
  { "URGENCY", "urgency" },          { "WEIGHT", "weight" },
  { "MAX TASKS", "maxTasksPerJob" }, { "MAX IN FLIGHT", "maxInFlight" },
  { "ZONES", "allowedZones" }
};

const std::vector<Column> vmColumns = {
  { "VM", "id" },       { "ROLE", "role" },
  { "ZONE", "zone" },   { "ADDRESS", "httpAddress" },
  { "STATE", "state" }, { "CONFIG OFFSET", "configOffset" }
};

const std::vector<Column> endpointColumns = {
  { "ENDPOINT", "id" }, { "SERVICE", "service" },
  { "ZONE", "zone" },   { "ADDRESS", "address" },
  { "SLOTS", "slots" }, { "CONNECTIONS", "connections" },
  { "STATE", "state" }
};

std::string
cellText(const nlohmann::json& row, const Column& column)
{
  const std::string text = textMember(row, column.member);
  return text.empty() ? "-" : text;
}

std::string
renderTable(const nlohmann::json& list, const std::vector<Column>& columns)
{
  std::vector<std::string> headings;
  headings.reserve(columns.size());
  for (const Column& column : columns) {
    headings.emplace_back(column.heading);
  }
  TextTable table(std::move(headings));
  for (const nlohmann::json& row : list) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const Column& column : columns) {
      cells.push_back(cellText(row, column));
    }
    table.addRow(std::move(cells));
  }
  return table.toString();
}

std::string
withNewline(std::string text)
{
  if (text.empty() || text.back() != '\n') {
    text += '\n';
  }
  return text;
}

std::string
renderConfig(const nlohmann::json& json)
{
  return "offset " + textMember(json, "offset") + "\n\n" +
         renderTable(listMember(json, "templates"), templateColumns) + '\n' +
         renderTable(listMember(json, "organisations"), organisationColumns);
}

std::string
renderStatus(const nlohmann::json& json)
{
  return "job " + textMember(json, "job") + ": " + textMember(json, "state") +
         ", " + textMember(json, "finished") + " of " +
         textMember(json, "tasks") + " tasks finished\n";
}

std::string
renderLines(const nlohmann::json& list)
{
  std::string text;
  for (const nlohmann::json& item : list) {
    text +=
      (item.is_string() ? item.get<std::string>() : writeJson(item)) + '\n';
  }
  return text;
}

std::string
renderJob(const nlohmann::json& json)
{
  return json.contains("answers") ? renderLines(listMember(json, "answers"))
                                  : renderStatus(json);
}

std::string
renderRevision(const Command& command, const nlohmann::json& json)
{
  return command.name() + " is at revision " + textMember(json, "revision") +
         '\n';
}

/// Renders the reply to a command that succeeded.
std::string
renderBody(const Command& command, const CallReply& reply)
{
  const nlohmann::json json = jsonOrNull(reply.body());
  const bool isText =
    command.wantsJson() || command.kind() == CommandKind::SendRequest;
  if (isText || !json.is_object()) {
    return withNewline(reply.body());
  }
  switch (command.kind()) {
    case CommandKind::PutTemplate:
    case CommandKind::PutOrganisation:
      return renderRevision(command, json);
    case CommandKind::ShowConfig:
      return renderConfig(json);
    case CommandKind::SubmitJob:
    case CommandKind::ShowJob:
    case CommandKind::ShowAnswer:
    case CommandKind::CancelJob:
      return renderJob(json);
    case CommandKind::DrawTickets:
      return renderLines(listMember(json, "tickets"));
    case CommandKind::ShowVms:
      return renderTable(listMember(json, "vms"), vmColumns);
    case CommandKind::ShowEndpoints:
      return renderTable(listMember(json, "endpoints"), endpointColumns);
    case CommandKind::ShowOffsets:
    case CommandKind::SendRequest:
    case CommandKind::ShowDump:
    case CommandKind::ShowMetrics:
      break;
  }
  return writeJson(json, jsonIndent) + '\n';
}

/// Whether the command asked for a job's answer and only has its status.
bool
isUnfinished(const Command& command, const CallReply& reply)
{
  const bool wantsAnswer =
    command.kind() == CommandKind::ShowAnswer || command.waitsForAnswer();
  return wantsAnswer && reply.status() == acceptedStatus;
}

std::string
renderUnknownError(const Command& command, const CallReply& reply)
{
  std::string text = "error: the daemon answered with status " +
                     std::to_string(reply.status()) +
                     " and no problem details\n";
  if (mayHaveEffect(command.kind())) {
    text += "ran: may have run\n";
  }
  return text + withNewline(reply.body());
}

Report
renderErrorReply(const Command& command, const CallReply& reply)
{
  const auto problem = problemFromJson(jsonOrNull(reply.body()));
  Report report;
  report.exitCode = problem ? exitCodeOf(*problem) : ExitCode::Failed;
  if (command.wantsJson()) {
    report.out = withNewline(reply.body());
  } else {
    report.err =
      problem ? renderProblem(*problem) : renderUnknownError(command, reply);
  }
  return report;
}

Report
renderReply(const Command& command, const CallReply& reply)
{
  if (reply.status() >= firstErrorStatus) {
    return renderErrorReply(command, reply);
  }
  Report report;
  report.out = renderBody(command, reply);
  report.exitCode =
    isUnfinished(command, reply) ? ExitCode::Unfinished : ExitCode::Ok;
  return report;
}

Report
renderUnreachable(const CallFailure& failure)
{
  return { "",
           "error: the daemon cannot be reached\n" + failure.detail() +
             "\nran: nothing; this call was not sent\n",
           ExitCode::Unreachable };
}

/// What to do about a change whose reply was lost.
std::string
advice(const Command& command)
{
  if (isSubmission(command.kind())) {
    return "submit it again with --key " + command.key() +
           " to learn its outcome\n";
  }
  return "look whether it took effect before you send it again\n";
}

Report
renderNoReply(const Command& command, const CallFailure& failure)
{
  const std::string text =
    "error: no whole reply from the daemon\n" + failure.detail() + '\n';
  if (!mayHaveEffect(command.kind())) {
    return { "", text, ExitCode::Unreachable };
  }
  return { "",
           text + "ran: may have run\n" + advice(command),
           ExitCode::Failed };
}

std::string
inSeconds(Duration duration)
{
  std::ostringstream out;
  out << std::chrono::duration<double>(duration).count() << " s";
  return out.str();
}

nlohmann::json
offsetToJson(const DaemonOffset& daemon)
{
  nlohmann::json json = { { "id", daemon.vm },
                          { "zone", daemon.zone },
                          { "httpAddress", daemon.httpAddress } };
  if (daemon.offset) {
    json["offset"] = *daemon.offset;
  } else {
    json["problem"] = daemon.problem;
  }
  return json;
}

std::string
renderOffsetTable(const std::vector<DaemonOffset>& offsets)
{
  TextTable table({ "VM", "ZONE", "ADDRESS", "OFFSET" });
  for (const DaemonOffset& daemon : offsets) {
    table.addRow({ daemon.vm,
                   daemon.zone,
                   daemon.httpAddress,
                   daemon.offset ? std::to_string(*daemon.offset)
                                 : "? " + daemon.problem });
  }
  return table.toString();
}

std::string
renderOffsetJson(const std::vector<DaemonOffset>& offsets)
{
  nlohmann::json list = nlohmann::json::array();
  for (const DaemonOffset& daemon : offsets) {
    list.push_back(offsetToJson(daemon));
  }
  const nlohmann::json json = { { "daemons", std::move(list) } };
  return writeJson(json) + '\n';
}

} // namespace

Report
renderEnd(const Command& command, const CallEnd& end)
{
  if (end) {
    return renderReply(command, *end);
  }
  return end.error().kind() == CallFailure::Kind::Unreachable
           ? renderUnreachable(end.error())
           : renderNoReply(command, end.error());
}

Report
renderOffsets(const Command& command, const std::vector<DaemonOffset>& offsets)
{
  const bool isComplete =
    std::all_of(offsets.begin(), offsets.end(), [](const DaemonOffset& d) {
      return d.offset.has_value();
    });
  Report report;
  report.out = command.wantsJson() ? renderOffsetJson(offsets)
                                   : renderOffsetTable(offsets);
  report.exitCode = isComplete ? ExitCode::Ok : ExitCode::Unreachable;
  return report;
}

std::string
renderProblem(const Problem& problem)
{
  std::string text = "error: " + std::string(title(problem.kind())) + '\n';
  if (!problem.detail().empty()) {
    text += problem.detail() + '\n';
  }
  text += "ran: " + std::string(toString(problem.ran())) + '\n';
  if (problem.retryAfter()) {
    text += "come back in: " + inSeconds(*problem.retryAfter()) + '\n';
  }
  return text;
}

ExitCode
exitCodeOf(const Problem& problem)
{
  if (problem.kind() == ProblemKind::RevisionConflict) {
    return ExitCode::Conflict;
  }
  return problem.ran() == RunState::NotRun ? ExitCode::Refused
                                           : ExitCode::Failed;
}

Report
renderUsage(const std::vector<Problem>& problems)
{
  Report report;
  report.exitCode = ExitCode::Usage;
  for (const Problem& problem : problems) {
    report.err += "error: " + problem.detail() + '\n';
  }
  report.err += "nothing was sent; see --help\n";
  return report;
}

} // namespace cowslippin
