#include "soakoptions.h"

#include <exception>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace {

using namespace cowslippin::testing;

/// A folder of this process, removed at the end.
class OwnFolder
{
public:
  OwnFolder()
    : m_path(std::filesystem::temp_directory_path() /
             ("cowslippin-soak-" + std::to_string(getpid())))
  {
    std::filesystem::create_directories(m_path);
  }
  ~OwnFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  OwnFolder(const OwnFolder&) = delete;
  OwnFolder& operator=(const OwnFolder&) = delete;

  std::string path() const { return m_path.string(); }

private:
  const std::filesystem::path m_path;
};

/// Descriptors that this process holds.
std::size_t
openDescriptors()
{
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd"))
    ++count;
  return count;
}

void
print(unsigned seed, const Soak::Report& report, bool isGood)
{
  std::cout << "seed " << seed << ": " << (isGood ? "good" : "FAILED")
            << ", strikes " << report.strikes.size() << ", submitted "
            << report.submitted << ", completed " << report.completed
            << ", refused " << report.refused << ", other " << report.other
            << ", afterwards " << report.calmCompleted << " of "
            << report.calmSubmitted << ", two runs at once "
            << report.doubleRuns << ", slowest round ms "
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                 report.slowestRound)
                 .count()
            << ", descriptors left " << openDescriptors() << std::endl;
  for (const std::string& violation : report.violations)
    std::cout << "  " << violation << std::endl;
  for (const std::string& line : report.traces)
    std::cout << "  trace: " << line << std::endl;
  if (isGood)
    return;
  for (const std::string& strike : report.strikes)
    std::cout << "  strike: " << strike << std::endl;
}

Soak::Report
playSeed(const Soak::Settings& settings, unsigned seed, unsigned seconds)
{
  Soak soak(settings, seed);
  return soak.run(std::chrono::seconds(seconds), std::chrono::seconds(4));
}

/// Prints a line a seed, and what went wrong. True if nothing did.
bool
runSeed(const Soak::Settings& settings, unsigned seed, unsigned seconds)
{
  const Soak::Report report = playSeed(settings, seed, seconds);
  const bool isServing = report.calmCompleted * 2 > report.calmSubmitted;
  const bool isGood = report.violations.empty() && isServing;
  print(seed, report, isGood);
  return isGood;
}

unsigned
runSeeds(const SoakOptions& options)
{
  const OwnFolder folder;
  Soak::Settings settings = options.settings;
  if (settings.program.empty())
    settings.program = DAEMON_PROGRAM;
  settings.folder = folder.path();
  unsigned failed = 0;
  for (unsigned i = 0; i < options.seeds; ++i) {
    if (!runSeed(settings, options.firstSeed + i, options.seconds))
      ++failed;
  }
  return failed;
}

int
run(const std::vector<std::string>& arguments)
{
  const auto options = SoakOptions::parse(arguments);
  if (!options) {
    std::cerr << options.error().detail() << std::endl;
    return 2;
  }
  if (options->asksForHelp) {
    SoakOptions::printHelp(std::cout);
    return 0;
  }
  const unsigned failed = runSeeds(*options);
  std::cout << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}

} // namespace

int
main(int count, char** arguments)
{
  // An exception that nothing catches would leave the daemons running.
  try {
    return run({ arguments + 1, arguments + count });
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << std::endl;
    return 3;
  }
}
