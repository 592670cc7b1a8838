#include "libcli/cli.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace cowslippin;

std::optional<std::string>
readEnvironment(const std::string& name)
{
  const char* value = std::getenv(name.c_str());
  return value ? std::make_optional<std::string>(value) : std::nullopt;
}

std::string
readAll(std::istream& input)
{
  return { std::istreambuf_iterator<char>(input),
           std::istreambuf_iterator<char>() };
}

std::optional<std::string>
readFile(const std::string& path)
{
  if (path == "-") {
    return readAll(std::cin);
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string content = readAll(file);
  return file.bad() ? std::nullopt : std::make_optional(std::move(content));
}

int
finish(const Command& command)
{
  const RunHooks hooks = { callOverHttp, randomKey };
  return static_cast<int>(runCommand(command, hooks, std::cout, std::cerr));
}

int
finish(const HelpText& help)
{
  std::cout << help.text;
  return static_cast<int>(ExitCode::Ok);
}

int
finish(const UsageError& error)
{
  const Report report = renderUsage(error.problems);
  std::cerr << report.err;
  return static_cast<int>(report.exitCode);
}

constexpr const char* traceHelp =
  "Usage: cowslippin trace JOB FILE...\n\n"
  "prints the lines of daemons' logs that are about a job, in the order of\n"
  "their times. Each file is the log of one daemon, or of several with a name\n"
  "before each line.\n";

/// Asks no daemon; reads logs.
int
trace(const std::vector<std::string>& arguments)
{
  if (arguments.size() < 3 || arguments[1] == "--help") {
    std::cerr << traceHelp;
    return static_cast<int>(ExitCode::Usage);
  }
  std::vector<TraceLine> lines;
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      std::cerr << "cowslippin: cannot read the log '" << arguments[i] << "'\n";
      return static_cast<int>(ExitCode::Usage);
    }
    const auto more = readTrace(file, arguments[i], arguments[1]);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  if (lines.empty())
    std::cerr << "cowslippin: no line is about job '" << arguments[1] << "'\n";
  std::cout << renderTrace(std::move(lines));
  return static_cast<int>(ExitCode::Ok);
}

} // namespace

int
main(int argc, char* argv[])
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (!arguments.empty() && arguments[0] == "trace")
    return trace(arguments);
  const ParseHooks hooks = { readEnvironment, readFile };
  const CommandLineEnd end = parseCommandLine(arguments, hooks);
  return std::visit([](const auto& value) { return finish(value); }, end);
}
