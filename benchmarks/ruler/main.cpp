#include "rulercase.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace cowslippin {
namespace {

struct Options
{
  std::string caseName;
  std::string deployment;
  std::uint64_t seed = 1;
  std::string choice;
  int crossingMs = -1;
  bool open = false;
  int borrowMs = 1000;
  int reserve = 1;
};

bool
isSelected(const std::string& wanted, const std::string& name)
{
  return wanted == "all" || wanted == name;
}

void
runCases(const Options& options)
{
  Figures::printHeader(std::cout);
  for (const Deployment& deployment : deployments()) {
    if (!isSelected(options.deployment, deployment.name)) {
      continue;
    }
    DispatchSettings settings;
    settings.crossingPenalty =
      options.crossingMs < 0 ? deployment.crossingPenalty
                             : std::chrono::milliseconds(options.crossingMs);
    settings.borrowingPenalty = std::chrono::milliseconds(options.borrowMs);
    settings.lendingReserve = options.reserve;
    settings.choice = options.choice == "two" ? EndpointChoice::TwoChoices
                                              : EndpointChoice::LeastInFlight;
    for (const RulerCase& each : rulerCases()) {
      if (isSelected(options.caseName, each.name)) {
        Simulation simulation(
          deployment, settings, !options.open, options.seed);
        each.arrange(simulation);
        simulation.run().print(std::cout, deployment.name, each.name);
      }
    }
  }
}

int
run(int argc, char** argv)
{
  namespace po = boost::program_options;
  Options options;
  po::options_description description(
    "Measures the dispatcher's decisions on a virtual clock");
  description.add_options()("help", "show this")(
    "case", po::value(&options.caseName)->default_value("all"), "a case")(
    "deployment",
    po::value(&options.deployment)->default_value("all"),
    "escribania, baumwollspur or central")(
    "seed", po::value(&options.seed)->default_value(1), "of all randomness")(
    "choice",
    po::value(&options.choice)->default_value("least"),
    "how endpoints are chosen: least or two")(
    "crossing-ms",
    po::value(&options.crossingMs),
    "the price of crossing a zone; the deployment's when absent")(
    "open", po::bool_switch(&options.open), "every daemon may fill every slot")(
    "borrow-ms",
    po::value(&options.borrowMs)->default_value(options.borrowMs),
    "the price of a borrowed slot")(
    "reserve",
    po::value(&options.reserve)->default_value(options.reserve),
    "free slots that are not lent");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  runCases(options);
  return 0;
}

} // namespace
} // namespace cowslippin

int
main(int argc, char** argv)
{
  try {
    return cowslippin::run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
