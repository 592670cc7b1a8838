#include "soak.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace {

namespace po = boost::program_options;
using namespace cowslippin::testing;

/// Prints a line a seed, and what went wrong. True if nothing did.
bool
runSeed(const Soak::Settings& settings, unsigned seed, unsigned seconds)
{
  Soak soak(settings, seed);
  const Soak::Report report =
    soak.run(std::chrono::seconds(seconds), std::chrono::seconds(4));
  const bool isServing = report.calmCompleted * 2 > report.calmSubmitted;
  const bool isGood = report.violations.empty() && isServing;
  std::cout << "seed " << seed << ": " << (isGood ? "good" : "FAILED")
            << ", strikes " << report.strikes.size() << ", submitted "
            << report.submitted << ", completed " << report.completed
            << ", refused " << report.refused << ", other " << report.other
            << ", afterwards " << report.calmCompleted << " of "
            << report.calmSubmitted << std::endl;
  for (const std::string& violation : report.violations)
    std::cout << "  " << violation << std::endl;
  if (!isGood) {
    for (const std::string& strike : report.strikes)
      std::cout << "  strike: " << strike << std::endl;
  }
  return isGood;
}

} // namespace

int
main(int count, char** arguments)
{
  po::options_description options("Strikes real daemons at random");
  options.add_options()("help", "show this");
  options.add_options()(
    "first-seed", po::value<unsigned>()->default_value(1), "the first seed");
  options.add_options()(
    "seeds", po::value<unsigned>()->default_value(1), "how many seeds");
  options.add_options()(
    "seconds", po::value<unsigned>()->default_value(15), "struck time a seed");
  options.add_options()("daemons-per-zone",
                        po::value<unsigned>()->default_value(2),
                        "daemons in each of two zones");
  options.add_options()("strike-links",
                        po::value<bool>()->default_value(true),
                        "whether connections are struck, too");
  options.add_options()("strike-at-random",
                        po::value<bool>()->default_value(true),
                        "whether processes, store and workers are struck");
  options.add_options()("only-kind",
                        po::value<int>()->default_value(-1),
                        "the only kind of overlapping strike, 0 to 8");
  options.add_options()("first-port",
                        po::value<std::uint16_t>()->default_value(21000),
                        "the first of 100 free ports");
  options.add_options()("log-folder",
                        po::value<std::string>()->default_value(""),
                        "an existing folder for the daemons' logs");
  po::variables_map values;
  po::store(po::parse_command_line(count, arguments, options), values);
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  const auto folder = std::filesystem::temp_directory_path() /
                      ("cowslippin-soak-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  Soak::Settings settings;
  settings.program = DAEMON_PROGRAM;
  settings.folder = folder;
  settings.daemonsPerZone = values["daemons-per-zone"].as<unsigned>();
  settings.firstPort = values["first-port"].as<std::uint16_t>();
  settings.strikesLinks = values["strike-links"].as<bool>();
  settings.strikesAtRandom = values["strike-at-random"].as<bool>();
  settings.onlyKind = values["only-kind"].as<int>();
  settings.logFolder = values["log-folder"].as<std::string>();
  unsigned failed = 0;
  const unsigned first = values["first-seed"].as<unsigned>();
  for (unsigned i = 0; i < values["seeds"].as<unsigned>(); ++i) {
    if (!runSeed(settings, first + i, values["seconds"].as<unsigned>()))
      ++failed;
  }
  std::filesystem::remove_all(folder);
  std::cout << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
