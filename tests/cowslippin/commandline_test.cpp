#include "libcli/cli.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>

namespace cowslippin {
namespace {

using Arguments = std::vector<std::string>;
using std::chrono::milliseconds;

CommandLineEnd
parse(const Arguments& arguments,
      const std::map<std::string, std::string>& environment = {})
{
  const auto lookUp = [](const std::map<std::string, std::string>& map) {
    return [&map](const std::string& name) -> std::optional<std::string> {
      const auto found = map.find(name);
      return found == map.end() ? std::nullopt
                                : std::make_optional(found->second);
    };
  };
  static const std::map<std::string, std::string> files = {
    { "template.json", R"({"service":"s"})" },
    { "list.json", "[1,\"b\",{}]" },
    { "object.json", R"({"tasks":[null]})" },
    { "empty.json", "[]" },
    { "bad.json", "[1," },
  };
  return parseCommandLine(arguments, { lookUp(environment), lookUp(files) });
}

Command
parseCommand(const Arguments& arguments,
             const std::map<std::string, std::string>& environment = {})
{
  const CommandLineEnd end = parse(arguments, environment);
  if (const auto* error = std::get_if<UsageError>(&end)) {
    ADD_FAILURE() << renderUsage(error->problems).err;
    return Command(Command::Fields());
  }
  return std::get<Command>(end);
}

std::vector<std::string>
badFields(const CommandLineEnd& end)
{
  std::vector<std::string> fields;
  if (const auto* error = std::get_if<UsageError>(&end)) {
    for (const Problem& problem : error->problems) {
      fields.push_back(problem.field());
    }
  }
  return fields;
}

/// A command line and the call it makes.
struct CallCase
{
  Arguments arguments;
  HttpCall::Fields call;
};

const HttpCallHeader jsonType("Content-Type", "application/json");

const CallCase callCases[] = {
  { { "template", "put", "t", "--file", "template.json" },
    { "PUT",
      "/v1/config/templates/t",
      "",
      { jsonType, { "If-Match", "0" } },
      R"({"service":"s"})" } },
  { { "organisation", "put", "a/b", "--json", "{}", "--revision", "7" },
    { "PUT",
      "/v1/config/organisations/a%2Fb",
      "",
      { jsonType, { "If-Match", "7" } },
      "{}" } },
  { { "config", "show" }, { "GET", "/v1/config", "", {}, "" } },
  { { "config", "offsets" }, { "GET", "/v1/vms", "", {}, "" } },
  { { "request", "o", "t", "--body", "{}", "--key=k", "--not-repeatable" },
    { "POST",
      "/v1/organisations/o/templates/t/requests",
      "",
      { { "Idempotency-Key", "k" }, jsonType, { "Repeatable", "false" } },
      "{}" } },
  { { "request", "o", "t", "--body", "", "--key", "k", "--deadline-ms", "90" },
    { "POST",
      "/v1/organisations/o/templates/t/requests",
      "",
      { { "Idempotency-Key", "k" },
        { "Deadline-Ms", "90" },
        { "Content-Type", "application/octet-stream" } },
      "" } },
  { { "job", "submit", "o", "t", "--tasks-file", "list.json", "--key", "k" },
    { "POST",
      "/v1/organisations/o/templates/t/jobs",
      "",
      { { "Idempotency-Key", "k" }, jsonType },
      R"({"tasks":[1,"b",{}]})" } },
  { { "job", "submit", "o", "t", "--tasks-file", "object.json", "--key", "k" },
    { "POST",
      "/v1/organisations/o/templates/t/jobs",
      "",
      { { "Idempotency-Key", "k" }, jsonType },
      R"({"tasks":[null]})" } },
  { { "job",
      "submit",
      "o",
      "t",
      "--count",
      "2",
      "--payload",
      "x y",
      "--wait",
      "--key",
      "k" },
    { "POST",
      "/v1/organisations/o/templates/t/jobs",
      "",
      { { "Idempotency-Key", "k" }, jsonType, { "Prefer", "wait" } },
      R"({"tasks":["x y","x y"]})" } },
  { { "job", "status", "j" }, { "GET", "/v1/jobs/j", "", {}, "" } },
  { { "job", "answer", "j", "--wait-ms", "50" },
    { "GET", "/v1/jobs/j/answer", "waitMs=50", {}, "" } },
  { { "job", "cancel", "j k" }, { "DELETE", "/v1/jobs/j%20k", "", {}, "" } },
  { { "tickets", "9" }, { "POST", "/v1/tickets", "count=9", {}, "" } },
  { { "vms" }, { "GET", "/v1/vms", "", {}, "" } },
  { { "endpoints" }, { "GET", "/v1/vms", "", {}, "" } },
  { { "dump" }, { "GET", "/v1/dump", "", {}, "" } },
  { { "metrics" }, { "GET", "/v1/metrics", "", {}, "" } },
};

TEST(CommandLineTest, EachCommandMakesItsCall)
{
  for (const CallCase& c : callCases) {
    const HttpCall call = buildCall(parseCommand(c.arguments));
    EXPECT_EQ(call, HttpCall(c.call))
      << ::testing::PrintToString(c.arguments) << " made " << call.method()
      << ' ' << call.path() << '?' << call.query() << ' ' << call.body();
  }
}

/// A command line that is wrong, and the fields that are named.
struct UsageCase
{
  Arguments arguments;
  std::vector<std::string> badFields;
};

const UsageCase usageCases[] = {
  { {}, { "COMMAND" } },
  { { "--json" }, { "COMMAND" } },
  { { "--daemon" }, { "COMMAND" } },
  { { "job" }, { "COMMAND" } },
  { { "job", "jump", "1" }, { "COMMAND" } },
  { { "vms", "extra" }, { "argument" } },
  { { "vms", "--frobnicate" }, { "" } },
  { { "vms", "--daemon", "localhost:1" }, { "--daemon" } },
  { { "vms", "--daemon", "127.0.0.1:0" }, { "--daemon" } },
  { { "vms", "--daemon", "127.0.0.1", "--timeout-ms", "0" },
    { "--daemon", "--timeout-ms" } },
  { { "request" }, { "ORGANISATION", "TEMPLATE" } },
  { { "request", "o", "t" }, { "--body" } },
  { { "request", "o", "t", "--body", "b", "--file", "template.json" },
    { "--body" } },
  { { "request", "o", "t", "--file", "none.json", "--key", "a b" },
    { "--key", "--file" } },
  { { "request", "o", "", "--body", "b" }, { "TEMPLATE" } },
  { { "request", "o", "t", "--body", "b", "--key", "" }, { "--key" } },
  { { "request", "o", "t", "--body", "b", "--key", "a\r\nb" }, { "--key" } },
  { { "request", "o", "t", "--body", "b", "--deadline-ms", "soon" },
    { "--deadline-ms" } },
  { { "template", "put", "t", "--body", "{}", "--revision", "-1" },
    { "--revision" } },
  { { "template", "put", "t", "--json" }, { "--body" } },
  { { "job", "submit", "o", "t" }, { "--tasks-file" } },
  { { "job", "submit", "o", "t", "--count", "2" }, { "--payload" } },
  { { "job", "submit", "o", "t", "--count", "2001", "--payload", "1" },
    { "--count" } },
  { { "job", "submit", "o", "t", "--payload", "1" }, { "--count" } },
  { { "job", "submit", "o", "t", "--tasks-file", "empty.json" },
    { "--tasks-file" } },
  { { "job", "submit", "o", "t", "--tasks-file", "bad.json" },
    { "--tasks-file" } },
  { { "tickets", "many" }, { "COUNT" } },
};

TEST(CommandLineTest, NamesEveryBadArgument)
{
  for (const UsageCase& c : usageCases) {
    EXPECT_EQ(badFields(parse(c.arguments)), c.badFields)
      << ::testing::PrintToString(c.arguments);
  }
}

TEST(CommandLineTest, GlobalOptionsStandAnywhere)
{
  const Command command = parseCommand(
    { "--daemon", "127.0.0.2:7", "--json", "vms", "--timeout-ms", "5" });
  EXPECT_EQ(command.kind(), CommandKind::ShowVms);
  EXPECT_EQ(command.daemon(), Address("127.0.0.2", 7));
  EXPECT_TRUE(command.wantsJson());
  EXPECT_EQ(command.replyTimeout(), milliseconds(5));
}

TEST(CommandLineTest, FlagsGoBeforeTheEnvironmentAndThatBeforeDefaults)
{
  const std::map<std::string, std::string> environment = {
    { "COWSLIPPIN_DAEMON", "127.0.0.3:7" }, { "COWSLIPPIN_TIMEOUT_MS", "70" }
  };
  EXPECT_EQ(parseCommand({ "vms" }).daemon(), Address("127.0.0.1", 7400));
  const Command fromEnvironment = parseCommand({ "vms" }, environment);
  EXPECT_EQ(fromEnvironment.daemon(), Address("127.0.0.3", 7));
  EXPECT_EQ(fromEnvironment.replyTimeout(), milliseconds(70));
  const Command fromFlag =
    parseCommand({ "vms", "--daemon", "127.0.0.4:7" }, environment);
  EXPECT_EQ(fromFlag.daemon(), Address("127.0.0.4", 7));
  EXPECT_EQ(badFields(parse({ "vms" }, { { "COWSLIPPIN_DAEMON", "x" } })),
            Arguments{ "--daemon" });
}

TEST(CommandLineTest, ReplyMayTakeAsLongAsWasAskedFor)
{
  const Command answer = parseCommand(
    { "job", "answer", "j", "--wait-ms", "4000", "--timeout-ms", "1000" });
  EXPECT_EQ(answer.replyTimeout(), milliseconds(5000));
  const Command request = parseCommand({ "request",
                                         "o",
                                         "t",
                                         "--body",
                                         "b",
                                         "--deadline-ms",
                                         "60000",
                                         "--timeout-ms",
                                         "1000" });
  EXPECT_EQ(request.replyTimeout(), milliseconds(61000));
}

TEST(CommandLineTest, EveryCommandHasHelpThatNamesItsOptions)
{
  for (const CommandSpec& spec : commandSpecs()) {
    Arguments arguments = spec.words;
    arguments.emplace_back("--help");
    const CommandLineEnd end = parse(arguments);
    const auto* help = std::get_if<HelpText>(&end);
    ASSERT_NE(help, nullptr) << spec.title();
    EXPECT_NE(help->text.find(spec.title()), std::string::npos);
    EXPECT_NE(help->text.find(exitCodeHelp), std::string::npos);
    for (const OptionSpec& option : spec.options) {
      EXPECT_NE(help->text.find("--" + option.name), std::string::npos);
    }
    EXPECT_NE(programHelp().find(spec.title()), std::string::npos);
  }
  EXPECT_TRUE(std::holds_alternative<HelpText>(parse({ "--help" })));
  EXPECT_TRUE(std::holds_alternative<HelpText>(parse({ "job", "--help" })));
}

} // namespace
} // namespace cowslippin
