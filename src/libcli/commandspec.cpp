#include "commandspec.h"

#include "exitcode.h"

#include <boost/algorithm/string/join.hpp>

#include <algorithm>
#include <sstream>

namespace cowslippin {

namespace {

const OptionSpec fileOption = {
  "file",
  "FILE",
  "read the body from FILE; - is standard input"
};

const OptionSpec keyOption = {
  "key",
  "KEY",
  "idempotency key or ticket; without it one is made up and printed to "
  "standard error before anything is sent"
};

const OptionSpec deadlineOption = {
  "deadline-ms",
  "N",
  "refuse the work if it cannot be done within N milliseconds"
};

const std::vector<OptionSpec> putOptions = {
  fileOption,
  { "body", "TEXT", "the body itself; --json '{...}' means the same" },
  { "revision", "N", "the revision that this one replaces; 0 for a new one" },
};

const std::vector<OptionSpec> requestOptions = {
  fileOption,
  { "body", "TEXT", "the payload itself" },
  keyOption,
  deadlineOption,
  { "not-repeatable", "", "never try again, whatever the template says" },
};

const std::vector<OptionSpec> submitOptions = {
  { "tasks-file",
    "FILE",
    "read a JSON list of tasks from FILE; - is standard input" },
  { "count", "N", "submit N tasks that all have the payload" },
  { "payload", "TEXT", "the payload of each task: JSON, or else a string" },
  keyOption,
  deadlineOption,
  { "wait", "", "wait for the whole answer" },
};

const std::vector<OptionSpec> answerOptions = {
  { "wait-ms", "N", "wait up to N milliseconds for the job to finish" },
};

std::string
usageOf(const CommandSpec& spec)
{
  std::string usage = spec.title();
  for (const std::string& operand : spec.operands) {
    usage += " " + operand;
  }
  return usage;
}

std::string
usageOf(const OptionSpec& option)
{
  return "--" + option.name +
         (option.valueName.empty() ? "" : " " + option.valueName);
}

void
writeOptions(std::ostream& out,
             const std::string& heading,
             const std::vector<OptionSpec>& options)
{
  if (options.empty()) {
    return;
  }
  out << '\n' << heading << ":\n";
  for (const OptionSpec& option : options) {
    out << "  " << usageOf(option) << "\n      " << option.help << '\n';
  }
}

} // namespace

std::string
CommandSpec::title() const
{
  return boost::algorithm::join(words, " ");
}

const std::vector<CommandSpec>&
commandSpecs()
{
  static const std::vector<CommandSpec> specs = {
    { CommandKind::PutTemplate,
      { "template", "put" },
      { "NAME" },
      putOptions,
      "publish a template or revise it" },
    { CommandKind::PutOrganisation,
      { "organisation", "put" },
      { "NAME" },
      putOptions,
      "set the parameters of an organisation" },
    { CommandKind::ShowConfig,
      { "config", "show" },
      {},
      {},
      "show the configuration in force" },
    { CommandKind::ShowOffsets,
      { "config", "offsets" },
      {},
      {},
      "show the configuration's offset on every daemon" },
    { CommandKind::SendRequest,
      { "request" },
      { "ORGANISATION", "TEMPLATE" },
      requestOptions,
      "send a request and print its answer" },
    { CommandKind::SubmitJob,
      { "job", "submit" },
      { "ORGANISATION", "TEMPLATE" },
      submitOptions,
      "submit a job" },
    { CommandKind::ShowJob,
      { "job", "status" },
      { "JOB" },
      {},
      "show how far a job is" },
    { CommandKind::ShowAnswer,
      { "job", "answer" },
      { "JOB" },
      answerOptions,
      "print a job's whole answer" },
    { CommandKind::CancelJob,
      { "job", "cancel" },
      { "JOB" },
      {},
      "cancel a job" },
    { CommandKind::DrawTickets,
      { "tickets" },
      { "COUNT" },
      {},
      "draw tickets, which serve as idempotency keys" },
    { CommandKind::ShowVms, { "vms" }, {}, {}, "list the VMs" },
    { CommandKind::ShowEndpoints,
      { "endpoints" },
      {},
      {},
      "list the endpoints" },
    { CommandKind::ShowDump, { "dump" }, {}, {}, "dump the daemon's state" },
    { CommandKind::ShowMetrics,
      { "metrics" },
      {},
      {},
      "show the daemon's metrics" },
  };
  return specs;
}

const std::vector<OptionSpec>&
globalOptionSpecs()
{
  static const std::vector<OptionSpec> specs = {
    { "daemon",
      "ADDRESS",
      "the daemon to ask (COWSLIPPIN_DAEMON, or else 127.0.0.1:7400)" },
    { "timeout-ms",
      "N",
      "how long to wait for a reply, beyond --wait-ms and --deadline-ms "
      "(COWSLIPPIN_TIMEOUT_MS, or else 30000)" },
    { "json", "", "print the daemon's JSON as it is" },
    { "help", "", "print this help" },
  };
  return specs;
}

std::string
programHelp()
{
  constexpr std::size_t usageWidth = 34;
  std::ostringstream out;
  out << "Usage: cowslippin [OPTIONS] COMMAND ...\n\nCommands:\n";
  for (const CommandSpec& spec : commandSpecs()) {
    std::string usage = usageOf(spec);
    usage.resize(std::max(usage.size() + 1, usageWidth), ' ');
    out << "  " << usage << spec.summary << '\n';
  }
  std::string traceUsage = "trace JOB FILE...";
  traceUsage.resize(usageWidth, ' ');
  out << "  " << traceUsage << "follow a job through daemons' logs\n";
  writeOptions(out, "Options of every command", globalOptionSpecs());
  out << "\n'cowslippin COMMAND --help' tells more of a command.\n\n"
      << exitCodeHelp;
  return out.str();
}

std::string
commandHelp(const CommandSpec& spec)
{
  std::ostringstream out;
  out << "Usage: cowslippin " << usageOf(spec) << " [OPTIONS]\n\n"
      << spec.summary << ".\n";
  writeOptions(out, "Options", spec.options);
  writeOptions(out, "Options of every command", globalOptionSpecs());
  out << '\n' << exitCodeHelp;
  return out.str();
}

} // namespace cowslippin
