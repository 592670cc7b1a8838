#include "commandline.h"

#include "jsontext.h"

#include <algorithm>
#include <limits>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;

constexpr char defaultDaemon[] = "127.0.0.1:7400";
constexpr char daemonVariable[] = "COWSLIPPIN_DAEMON";
constexpr char timeoutVariable[] = "COWSLIPPIN_TIMEOUT_MS";
constexpr std::int64_t maxWaitMs =
  std::chrono::milliseconds(std::chrono::hours(24)).count();
constexpr std::int64_t maxRevision = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t maxKeyLength = 200;

/// Where the command's words stand among the arguments.
struct CommandPosition
{
  const CommandSpec* spec = nullptr;
  std::size_t index = 0;
};

bool
isOption(const std::string& argument)
{
  return argument.size() > 1 && argument.front() == '-';
}

bool
takesNextArgument(const std::string& argument)
{
  return argument == "--daemon" || argument == "--timeout-ms";
}

/// The index of the first argument that is neither an option of every command
/// nor the value of one.
std::size_t
firstWord(const std::vector<std::string>& arguments)
{
  std::size_t index = 0;
  while (index < arguments.size() && isOption(arguments[index])) {
    index += takesNextArgument(arguments[index]) ? 2 : 1;
  }
  return std::min(index, arguments.size());
}

/// The iterator to the argument at `index`.
std::vector<std::string>::const_iterator
argumentAt(const std::vector<std::string>& arguments, std::size_t index)
{
  return arguments.begin() + static_cast<std::ptrdiff_t>(index);
}

bool
startsWith(const std::vector<std::string>& arguments,
           std::size_t index,
           const std::vector<std::string>& words)
{
  return arguments.size() - index >= words.size() &&
         std::equal(words.begin(), words.end(), argumentAt(arguments, index));
}

CommandPosition
findCommand(const std::vector<std::string>& arguments)
{
  const std::size_t index = firstWord(arguments);
  for (const CommandSpec& spec : commandSpecs()) {
    if (startsWith(arguments, index, spec.words)) {
      return { &spec, index };
    }
  }
  return { nullptr, index };
}

bool
isPut(CommandKind kind)
{
  return kind == CommandKind::PutTemplate ||
         kind == CommandKind::PutOrganisation;
}

/// The arguments without the command's words. Where a body is put, `--json`
/// before an object stands for `--body`.
std::vector<std::string>
withoutWords(std::vector<std::string> arguments,
             const CommandPosition& position)
{
  const std::size_t end = position.index + position.spec->words.size();
  arguments.erase(argumentAt(arguments, position.index),
                  argumentAt(arguments, end));
  for (std::size_t i = 0; i + 1 < arguments.size(); ++i) {
    const bool isObject = arguments[i + 1].substr(0, 1) == "{";
    if (isPut(position.spec->kind) && arguments[i] == "--json" && isObject) {
      arguments[i] = "--body";
    }
  }
  return arguments;
}

UsageError
unknownCommand(const std::vector<std::string>& arguments, std::size_t index)
{
  std::string words;
  for (std::size_t i = index; i < arguments.size() && i < index + 2; ++i) {
    words += (words.empty() ? "" : " ") + arguments[i];
  }
  return { { Problem::invalidField(
    "COMMAND", words, "one of those that 'cowslippin --help' lists") } };
}

Address
readDaemon(ArgumentReader& reader)
{
  const std::string text =
    reader.text("daemon", daemonVariable).value_or(defaultDaemon);
  const Result<Address> address = Address::parse(text, "--daemon");
  if (!address) {
    reader.refuse(address.error());
    return Address();
  }
  if (address->port() == 0) {
    reader.refuse(
      Problem::invalidField("--daemon", text, "a port from 1 to 65535"));
  }
  return *address;
}

void
readGlobals(ArgumentReader& reader, Command::Fields& fields)
{
  const auto fallback =
    std::chrono::duration_cast<milliseconds>(fields.timeout).count();
  fields.daemon = readDaemon(reader);
  fields.json = reader.has("json");
  fields.timeout =
    milliseconds(reader.number("--timeout-ms",
                               reader.text("timeout-ms", timeoutVariable),
                               fallback,
                               1,
                               maxWaitMs));
}

void
readPut(ArgumentReader& reader, Command::Fields& fields)
{
  fields.name = reader.operand(0);
  fields.body = reader.fileOrText("file", "body");
  fields.revision = static_cast<Offset>(
    reader.number("--revision", reader.text("revision"), 0, 0, maxRevision));
}

std::string
readKey(ArgumentReader& reader)
{
  const std::optional<std::string> key = reader.text("key");
  const auto isPrintable = [](char c) { return c > ' ' && c < '\x7f'; };
  if (key && (key->empty() || key->size() > maxKeyLength ||
              !std::all_of(key->begin(), key->end(), isPrintable))) {
    reader.refuse(Problem::invalidField(
      "--key", *key, "1 to 200 ASCII characters without spaces"));
  }
  return key.value_or("");
}

void
readSubmission(ArgumentReader& reader, Command::Fields& fields)
{
  fields.organisation = reader.operand(0);
  fields.name = reader.operand(1);
  fields.key = readKey(reader);
  if (const auto deadline = reader.text("deadline-ms")) {
    fields.deadline =
      milliseconds(reader.number("--deadline-ms", deadline, 1, 1, maxWaitMs));
  }
}

void
readRequest(ArgumentReader& reader, Command::Fields& fields)
{
  readSubmission(reader, fields);
  fields.body = reader.fileOrText("file", "body");
  fields.notRepeatable = reader.has("not-repeatable");
}

std::string
tasksBody(nlohmann::json tasks)
{
  const nlohmann::json body = { { "tasks", std::move(tasks) } };
  return writeJson(body);
}

bool
isTaskCount(std::size_t count)
{
  return count >= 1 && count <= maxTasks;
}

/// Reads a list of tasks, or an object that holds it as `tasks`.
std::string
readTasksFile(ArgumentReader& reader)
{
  nlohmann::json json = jsonOrNull(reader.file("tasks-file"));
  if (json.is_object() && json.size() == 1 && json.contains("tasks")) {
    json = nlohmann::json(json["tasks"]);
  }
  if (!json.is_array() || !isTaskCount(json.size())) {
    reader.refuse(
      Problem::invalidField("--tasks-file",
                            reader.text("tasks-file").value_or(""),
                            "a file with a JSON list of 1 to 2000 tasks"));
    return "";
  }
  return tasksBody(std::move(json));
}

std::string
readCountedTasks(ArgumentReader& reader)
{
  const auto count =
    reader.number("--count", reader.text("count").value_or(""), 0, 1, maxTasks);
  const std::optional<std::string> payload = reader.text("payload");
  if (!payload) {
    reader.refuse(Problem::invalidField(
      "--payload", "", "a value; --count and --payload go together"));
    return "";
  }
  const nlohmann::json task =
    parseJson(*payload, "payload", cliLimits).value_or(*payload);
  return tasksBody(
    std::vector<nlohmann::json>(static_cast<std::size_t>(count), task));
}

std::string
readTasks(ArgumentReader& reader)
{
  const bool isCounted = reader.has("count") || reader.has("payload");
  if (reader.has("tasks-file") == isCounted) {
    reader.refuse(Problem::invalidField("--tasks-file",
                                        reader.text("tasks-file").value_or(""),
                                        "either it or --count and --payload"));
    return "";
  }
  return isCounted ? readCountedTasks(reader) : readTasksFile(reader);
}

void
readJob(ArgumentReader& reader, Command::Fields& fields)
{
  readSubmission(reader, fields);
  fields.body = readTasks(reader);
  fields.waitForAnswer = reader.has("wait");
}

void
readAnswer(ArgumentReader& reader, Command::Fields& fields)
{
  fields.name = reader.operand(0);
  fields.wait = milliseconds(
    reader.number("--wait-ms", reader.text("wait-ms"), 0, 0, maxWaitMs));
}

void
readTickets(ArgumentReader& reader, Command::Fields& fields)
{
  fields.count = static_cast<int>(
    reader.number("COUNT", reader.operand(0), 1, 1, maxTickets));
}

void
readSpecifics(ArgumentReader& reader, Command::Fields& fields)
{
  switch (fields.kind) {
    case CommandKind::PutTemplate:
    case CommandKind::PutOrganisation:
      return readPut(reader, fields);
    case CommandKind::SendRequest:
      return readRequest(reader, fields);
    case CommandKind::SubmitJob:
      return readJob(reader, fields);
    case CommandKind::ShowAnswer:
      return readAnswer(reader, fields);
    case CommandKind::DrawTickets:
      return readTickets(reader, fields);
    case CommandKind::ShowJob:
    case CommandKind::CancelJob:
      fields.name = reader.operand(0);
      return;
    case CommandKind::ShowConfig:
    case CommandKind::ShowOffsets:
    case CommandKind::ShowVms:
    case CommandKind::ShowEndpoints:
    case CommandKind::ShowDump:
    case CommandKind::ShowMetrics:
      return;
  }
}

bool
asksForHelp(const std::vector<std::string>& arguments)
{
  return std::find(arguments.begin(), arguments.end(), "--help") !=
         arguments.end();
}

CommandLineEnd
readCommand(const CommandSpec& spec,
            const std::vector<std::string>& arguments,
            const ParseHooks& hooks)
{
  ArgumentReader reader(spec, arguments, hooks);
  if (reader.has("help")) {
    return HelpText{ commandHelp(spec) };
  }
  const bool isParsed = reader.problems().empty();
  Command::Fields fields;
  fields.kind = spec.kind;
  if (isParsed) {
    readGlobals(reader, fields);
    readSpecifics(reader, fields);
  }
  if (!reader.problems().empty()) {
    return UsageError{ reader.problems() };
  }
  return Command(std::move(fields));
}

} // namespace

CommandLineEnd
parseCommandLine(const std::vector<std::string>& arguments,
                 const ParseHooks& hooks)
{
  const CommandPosition position = findCommand(arguments);
  if (position.spec) {
    return readCommand(
      *position.spec, withoutWords(arguments, position), hooks);
  }
  if (asksForHelp(arguments)) {
    return HelpText{ programHelp() };
  }
  return unknownCommand(arguments, position.index);
}

} // namespace cowslippin
