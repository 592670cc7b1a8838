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

} // namespace

int
main(int argc, char* argv[])
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const ParseHooks hooks = { readEnvironment, readFile };
  const CommandLineEnd end = parseCommandLine(arguments, hooks);
  return std::visit([](const auto& value) { return finish(value); }, end);
}
