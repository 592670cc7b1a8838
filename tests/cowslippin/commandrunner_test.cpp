#include "libcli/cli.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <sstream>

namespace cowslippin {
namespace {

using std::chrono::milliseconds;

/// What a command printed and how it ended.
struct RunEnd
{
  ExitCode exitCode;
  std::string out;
  std::string err;
};

RunEnd
runWith(const Command& command, const Transport& transport)
{
  std::ostringstream out;
  std::ostringstream err;
  const RunHooks hooks = { transport, [] { return "made-up"; } };
  const ExitCode exitCode = runCommand(command, hooks, out, err);
  return { exitCode, out.str(), err.str() };
}

RunEnd
runAgainst(const Command& command, const CallEnd& end)
{
  return runWith(
    command, [&](const Address&, const HttpCall&, Duration) { return end; });
}

Command
makeCommand(CommandKind kind, bool json = false)
{
  Command::Fields fields;
  fields.kind = kind;
  fields.json = json;
  fields.name = "n";
  fields.organisation = "o";
  return Command(fields);
}

CallEnd
failureOf(CallFailure::Kind kind)
{
  return tl::unexpected<CallFailure>(CallFailure(kind, "why"));
}

CallEnd
problemReply(const Problem& problem)
{
  return CallReply(httpStatus(problem.kind()),
                   problemContentType,
                   problemToJson(problem).dump());
}

struct ExitCase
{
  CommandKind kind;
  ExitCode exitCode;
  CallEnd end;
};

const Problem overQuota(ProblemKind::OverQuota, RunState::NotRun, "too much");

const ExitCase exitCases[] = {
  { CommandKind::SendRequest, ExitCode::Ok, CallReply(200, "", "x") },
  { CommandKind::SubmitJob, ExitCode::Ok, CallReply(202, "", "{}") },
  { CommandKind::ShowAnswer, ExitCode::Ok, CallReply(200, "", "{}") },
  { CommandKind::ShowAnswer, ExitCode::Unfinished, CallReply(202, "", "{}") },
  { CommandKind::SendRequest, ExitCode::Refused, problemReply(overQuota) },
  { CommandKind::SendRequest,
    ExitCode::Failed,
    problemReply(overQuota.withRan(RunState::MayHaveRun)) },
  { CommandKind::ShowAnswer,
    ExitCode::Failed,
    problemReply(
      Problem(ProblemKind::EndpointFailed, RunState::Failed, "broken")) },
  { CommandKind::PutTemplate,
    ExitCode::Conflict,
    problemReply(
      Problem(ProblemKind::RevisionConflict, RunState::NotRun, "late")) },
  { CommandKind::ShowAnswer,
    ExitCode::Refused,
    problemReply(Problem(ProblemKind::Cancelled, RunState::NotRun, "gone")) },
  { CommandKind::SendRequest, ExitCode::Failed, CallReply(500, "", "oops") },
  { CommandKind::SendRequest,
    ExitCode::Unreachable,
    failureOf(CallFailure::Kind::Unreachable) },
  { CommandKind::SendRequest,
    ExitCode::Failed,
    failureOf(CallFailure::Kind::NoReply) },
  { CommandKind::PutOrganisation,
    ExitCode::Failed,
    failureOf(CallFailure::Kind::NoReply) },
  { CommandKind::ShowVms,
    ExitCode::Unreachable,
    failureOf(CallFailure::Kind::NoReply) },
};

TEST(CommandRunnerTest, ExitCodesTellHowItEnded)
{
  for (const ExitCase& c : exitCases) {
    const RunEnd run = runAgainst(makeCommand(c.kind), c.end);
    EXPECT_EQ(run.exitCode, c.exitCode) << run.out << run.err;
  }
}

TEST(CommandRunnerTest, MadeUpKeyIsPrintedBeforeAnythingIsSent)
{
  std::ostringstream out;
  std::ostringstream err;
  std::string printed;
  HttpCall sent{ HttpCall::Fields() };
  const Transport transport =
    [&](const Address&, const HttpCall& call, Duration) {
      printed = err.str();
      sent = call;
      return CallEnd(CallReply(200, "", "x"));
    };
  const RunHooks hooks = { transport, [] { return "made-up"; } };
  runCommand(makeCommand(CommandKind::SendRequest), hooks, out, err);
  EXPECT_NE(printed.find("made-up"), std::string::npos);
  EXPECT_EQ(sent.headers().front(),
            HttpCallHeader("Idempotency-Key", "made-up"));
  EXPECT_EQ(out.str(), "x\n");
}

TEST(CommandRunnerTest, GivenKeyIsUsedQuietly)
{
  const RunEnd run =
    runAgainst(makeCommand(CommandKind::SubmitJob).withKey("mine"),
               failureOf(CallFailure::Kind::NoReply));
  EXPECT_EQ(run.err.find("made-up"), std::string::npos);
  EXPECT_NE(run.err.find("--key mine"), std::string::npos);
  EXPECT_NE(run.err.find("ran: may have run"), std::string::npos);
}

TEST(CommandRunnerTest, UnreachableSaysNothingOfAnEarlierSubmission)
{
  const RunEnd run =
    runAgainst(makeCommand(CommandKind::SubmitJob).withKey("mine"),
               failureOf(CallFailure::Kind::Unreachable));
  EXPECT_EQ(run.err.find("not run"), std::string::npos);
  EXPECT_NE(run.err.find("not sent"), std::string::npos);
}

TEST(CommandRunnerTest, MadeUpKeysDiffer)
{
  EXPECT_EQ(randomKey().size(), 32U);
  EXPECT_NE(randomKey(), randomKey());
}

TEST(CommandRunnerTest, ProblemTellsTitleDetailRunAndWhenToComeBack)
{
  const Problem problem = overQuota.withRetryAfter(milliseconds(1500));
  const RunEnd run =
    runAgainst(makeCommand(CommandKind::ShowJob), problemReply(problem));
  EXPECT_EQ(run.out, "");
  EXPECT_EQ(run.err,
            "error: The organisation is over its share\ntoo much\n"
            "ran: not run\ncome back in: 1.5 s\n");
}

TEST(CommandRunnerTest, JsonIsPrintedAsItIs)
{
  const std::string body = "{\"vms\" : [ ]}\n";
  const RunEnd vms = runAgainst(makeCommand(CommandKind::ShowVms, true),
                                CallReply(200, "application/json", body));
  EXPECT_EQ(vms.out, body);
  const RunEnd refused = runAgainst(makeCommand(CommandKind::ShowJob, true),
                                    problemReply(overQuota));
  EXPECT_EQ(refused.out, problemToJson(overQuota).dump() + '\n');
  EXPECT_EQ(refused.exitCode, ExitCode::Refused);
}

struct OutputCase
{
  CommandKind kind;
  std::string body;
  std::string out;
};

const OutputCase outputCases[] = {
  { CommandKind::PutTemplate, R"({"revision":7})", "n is at revision 7\n" },
  { CommandKind::SubmitJob,
    R"({"job":"j","state":"queued","tasks":9,"finished":0})",
    "job j: queued, 0 of 9 tasks finished\n" },
  { CommandKind::ShowAnswer,
    R"({"job":"j","state":"complete","answers":[1,"two",{"a":3}]})",
    "1\ntwo\n{\"a\":3}\n" },
  { CommandKind::DrawTickets, R"({"tickets":["a","b"]})", "a\nb\n" },
  { CommandKind::ShowVms,
    R"({"vms":[{"id":"vm-1","zone":"a","state":"live","configOffset":12},7]})",
    "VM    ROLE  ZONE  ADDRESS  STATE  CONFIG OFFSET\n"
    "vm-1  -     a     -        live   12\n"
    "-     -     -     -        -      -\n" },
  { CommandKind::ShowConfig,
    R"({"offset":3,"organisations":[{"name":"o","revision":2,"urgency":5,
        "weight":1,"maxTasksPerJob":4,"maxInFlight":6,"allowedZones":["a"]}]})",
    "offset 3\n\n"
    "TEMPLATE  REVISION  SERVICE  PATH  REPEATABLE  RUN TIME MS  TIMEOUT MS\n"
    "\n"
    "ORGANISATION  REVISION  URGENCY  WEIGHT  MAX TASKS  MAX IN FLIGHT  ZONES\n"
    "o             2         5        1       4          6              "
    "[\"a\"]\n" },
  { CommandKind::ShowDump, R"({"a":1})", "{\n  \"a\": 1\n}\n" },
  { CommandKind::ShowVms, "not JSON", "not JSON\n" },
  { CommandKind::SendRequest, "  as it is", "  as it is\n" },
};

TEST(CommandRunnerTest, OutputIsReadable)
{
  for (const OutputCase& c : outputCases) {
    const RunEnd run =
      runAgainst(makeCommand(c.kind).withKey("k"), CallReply(200, "", c.body));
    EXPECT_EQ(run.out, c.out);
    EXPECT_EQ(run.err, "");
  }
}

/// Answers for the daemon that is asked for the VMs and for two of three.
CallEnd
answerForOffsets(const Address& daemon, const HttpCall& call, Duration)
{
  if (call == vmsCall()) {
    return CallReply(200, "", R"({"vms":[
      {"id":"vm-1","zone":"a","httpAddress":"127.0.0.1:1"},
      {"id":"vm-2","zone":"b","httpAddress":"127.0.0.1:2"},
      {"id":"worker","zone":"b"},
      {"id":"vm-3","zone":"c","httpAddress":"127.0.0.1:3"}]})");
  }
  if (daemon.port() == 2) {
    return failureOf(CallFailure::Kind::Unreachable);
  }
  return CallReply(
    200, "", R"({"offset":1)" + std::to_string(daemon.port()) + "}");
}

TEST(CommandRunnerTest, OffsetsAreAskedOfEveryDaemon)
{
  const RunEnd run =
    runWith(makeCommand(CommandKind::ShowOffsets), answerForOffsets);
  EXPECT_EQ(run.exitCode, ExitCode::Unreachable);
  EXPECT_EQ(run.out,
            "VM    ZONE  ADDRESS      OFFSET\n"
            "vm-1  a     127.0.0.1:1  11\n"
            "vm-2  b     127.0.0.1:2  ? why\n"
            "vm-3  c     127.0.0.1:3  13\n");
  const RunEnd json =
    runWith(makeCommand(CommandKind::ShowOffsets, true), answerForOffsets);
  const nlohmann::json daemons = nlohmann::json::parse(json.out)["daemons"];
  EXPECT_EQ(daemons[0]["offset"], 11);
  EXPECT_EQ(daemons[1]["problem"], "why");
}

TEST(CommandRunnerTest, BrokenVmListIsAFailure)
{
  const RunEnd run =
    runAgainst(makeCommand(CommandKind::ShowOffsets), CallReply(200, "", "[]"));
  EXPECT_EQ(run.exitCode, ExitCode::Failed);
  const RunEnd refused =
    runAgainst(makeCommand(CommandKind::ShowOffsets), problemReply(overQuota));
  EXPECT_EQ(refused.exitCode, ExitCode::Refused);
}

} // namespace
} // namespace cowslippin
