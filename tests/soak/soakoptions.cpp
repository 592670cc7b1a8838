#include "soakoptions.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <functional>
#include <optional>
#include <ostream>

namespace cowslippin::testing {

namespace {

namespace po = boost::program_options;

constexpr unsigned maxZones = 10;
constexpr unsigned maxDaemonsPerZone = 100;
constexpr unsigned maxWorkersPerZone = 1000;
constexpr double maxJobsPerSecond = 1000;
constexpr double maxStrikeRate = 20;
/// Below the duration of a lease.
constexpr unsigned maxListingDelayMs = 700;
constexpr unsigned maxSeconds = 86400;
constexpr unsigned maxSeeds = 1000000;
constexpr unsigned minPort = 1024;
/// Ports above are given to connections by the system.
constexpr unsigned maxPort = 32767;
constexpr const char* helpFlag = "help";
/// Without guesses: an option that isn't known is an error.
constexpr int style = po::command_line_style::allow_long |
                      po::command_line_style::long_allow_adjacent |
                      po::command_line_style::long_allow_next;

struct Option
{
  std::string name;
  std::string defaultText;
  std::string description;
  /// Takes over the value; the allowed ones if it isn't one of them.
  std::function<std::optional<std::string>(const std::string&)> set;
};

template<class Number>
bool
readNumber(const std::string& text, Number& number)
{
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  return result.ec == std::errc() && result.ptr == end;
}

std::string
textOf(unsigned number)
{
  return std::to_string(number);
}

std::string
textOf(double number)
{
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
}

template<class Target, class Number>
auto
inRange(Target& target, Number lowest, Number highest)
{
  return [&target, lowest, highest](
           const std::string& text) -> std::optional<std::string> {
    Number number{};
    if (!readNumber(text, number) || !(number >= lowest && number <= highest))
      return textOf(lowest) + " to " + textOf(highest);
    target = static_cast<Target>(number);
    return std::nullopt;
  };
}

auto
millisecondsUpTo(Duration& target, unsigned highest)
{
  return
    [&target, highest](const std::string& text) -> std::optional<std::string> {
      unsigned ms = 0;
      if (auto allowed = inRange(ms, 0U, highest)(text))
        return allowed;
      target = std::chrono::milliseconds(ms);
      return std::nullopt;
    };
}

auto
yesOrNo(bool& target)
{
  return [&target](const std::string& text) -> std::optional<std::string> {
    if (text != "0" && text != "1")
      return "0 or 1";
    target = text == "1";
    return std::nullopt;
  };
}

auto
onlyKind(int& target)
{
  return [&target](const std::string& text) -> std::optional<std::string> {
    int kind = 0;
    if (!readNumber(text, kind) || kind < -1 || kind > Soak::lastKind)
      return "-1 for all, 0 to " + std::to_string(Soak::lastKind);
    target = kind;
    return std::nullopt;
  };
}

auto
mixOf(RequestMix& target)
{
  return [&target](const std::string& text) -> std::optional<std::string> {
    const Result<RequestMix> mix = RequestMix::parse(text, "mix");
    if (!mix)
      return mix.error().allowed();
    target = *mix;
    return std::nullopt;
  };
}

auto
folder(std::string& target)
{
  return [&target](const std::string& text) -> std::optional<std::string> {
    if (!text.empty() && !std::filesystem::is_directory(text))
      return "an existing folder";
    target = text;
    return std::nullopt;
  };
}

auto
file(std::string& target)
{
  return [&target](const std::string& text) -> std::optional<std::string> {
    if (!text.empty() && !std::filesystem::is_regular_file(text))
      return "an existing file";
    target = text;
    return std::nullopt;
  };
}

std::vector<Option>
sizeOptions(SoakOptions& options)
{
  Soak::Settings& settings = options.settings;
  return { { "zones", "2", "zones", inRange(settings.zones, 1U, maxZones) },
           { "daemons-per-zone",
             "2",
             "daemons in each zone",
             inRange(settings.daemonsPerZone, 1U, maxDaemonsPerZone) },
           { "workers-per-zone",
             "4",
             "workers in each zone",
             inRange(settings.workersPerZone, 1U, maxWorkersPerZone) },
           { "jobs-per-second",
             "10",
             "jobs submitted a second",
             inRange(settings.jobsPerSecond, 0.1, maxJobsPerSecond) },
           { "mix",
             "",
             "kinds of jobs, as 8x60:206,4x900:37.5,2x200:600 for shares of "
             "206, 37.5 and 600 of jobs of 8 tasks of 60 ms and so on; "
             "random ones if empty",
             mixOf(settings.mix) },
           { "spread",
             "0",
             "how much the run times of the mix vary: the standard deviation "
             "of their logarithm",
             inRange(settings.spread, 0.0, 1.0) },
           { "births",
             "1",
             "whether workers say when they began; those that don't get a new "
             "id with each life, slow clocks and stops that take a while",
             yesOrNo(settings.reportsBirths) },
           { "listing-delay",
             "0",
             "upper limit of the time between a worker's check of a start and "
             "the beginning of the run, which is listed and answered from then "
             "on, in ms",
             millisecondsUpTo(settings.maxListingDelay, maxListingDelayMs) },
           { "retry-in-zone",
             "0",
             "whether callers submit again at daemons of the same zone",
             yesOrNo(settings.retriesInZone) },
           { "first-port",
             "21000",
             "the first of 10 free ports and one more a worker",
             inRange(settings.firstPort, minPort, maxPort) } };
}

std::vector<Option>
strikeOptions(SoakOptions& options)
{
  Soak::Settings& settings = options.settings;
  return { { "strike-links",
             "1",
             "whether connections are struck, too",
             yesOrNo(settings.strikesLinks) },
           { "strike-at-random",
             "1",
             "whether processes, store and workers are struck",
             yesOrNo(settings.strikesAtRandom) },
           { "strike-late-resets",
             "1",
             "whether daemons learn late that callers are gone",
             yesOrNo(settings.strikesLateResets) },
           { "strike-rate",
             "1",
             "strikes in the time in which there is usually one",
             inRange(settings.strikeRate, 0.01, maxStrikeRate) },
           { "strike-cuts",
             "0",
             "whether groups of daemons are cut from the others and from "
             "callers, workers and store, and requests are held up meanwhile",
             yesOrNo(settings.strikesCuts) },
           { "strike-foreign",
             "0",
             "whether other writers, callers and daemons send bytes that no "
             "daemon expects",
             yesOrNo(settings.strikesForeign) },
           { "strike-orders",
             "0",
             "whether orders to workers and requests to the store are delayed "
             "within their deadlines, lose their connections or are refused",
             yesOrNo(settings.strikesOrders) },
           { "strike-series",
             "0",
             "whether restarts, rolls, freezes, crashes of workers and lapses "
             "of their entries come in series",
             yesOrNo(settings.strikesSeries) },
           { "strike-resets",
             "0",
             "whether all connections of all daemons are reset at one time, "
             "sometimes in series, with a kill, or with workers that refuse "
             "new ones for a moment",
             yesOrNo(settings.strikesResets) },
           { "lost-ends",
             "0.5",
             "share of these cuts in which daemons aren't told that "
             "connections have ended",
             inRange(settings.lostEnds, 0.0, 1.0) },
           { "only-kind",
             "-1",
             "the only kind of overlapping strike; all if -1",
             onlyKind(settings.onlyKind) } };
}

std::vector<Option>
runOptions(SoakOptions& options)
{
  return {
    { "first-seed",
      "1",
      "the first seed",
      inRange(options.firstSeed, 0U, ~0U - maxSeeds) },
    { "seeds", "1", "how many seeds", inRange(options.seeds, 1U, maxSeeds) },
    { "seconds",
      "15",
      "struck time a seed",
      inRange(options.seconds, 1U, maxSeconds) },
    { "program",
      "",
      "an existing daemon program to strike; the one built with this if empty",
      file(options.settings.program) },
    { "log-folder",
      "",
      "an existing folder for the daemons' logs",
      folder(options.settings.logFolder) }
  };
}

std::vector<Option>
allOptions(SoakOptions& options)
{
  std::vector<Option> all = runOptions(options);
  for (const auto& group : { sizeOptions(options), strikeOptions(options) })
    all.insert(all.end(), group.begin(), group.end());
  return all;
}

po::options_description
descriptionsOf(const std::vector<Option>& options)
{
  po::options_description descriptions("Strikes real daemons at random");
  descriptions.add_options()(helpFlag, "show this");
  for (const Option& option : options)
    descriptions.add_options()(
      option.name.c_str(),
      po::value<std::string>()->default_value(option.defaultText),
      option.description.c_str());
  return descriptions;
}

/// `option` is `--name` or `--name=value`.
Problem
refusedOption(const std::string& option)
{
  const std::string text = option.substr(option.rfind("--", 0) == 0 ? 2 : 0);
  const std::size_t mark = std::min(text.find('='), text.size());
  return Problem::invalidField(text.substr(0, mark),
                               text.substr(std::min(mark + 1, text.size())),
                               "an option of --help with a value, once");
}

/// What fits each option alone and not the others.
std::optional<Problem>
checkTogether(const Soak::Settings& settings)
{
  const unsigned daemons = settings.zones * settings.daemonsPerZone;
  if (daemons > Soak::maxDaemons)
    return Problem::invalidField("daemons-per-zone",
                                 std::to_string(settings.daemonsPerZone),
                                 "at most " + std::to_string(Soak::maxDaemons) +
                                   " daemons in all zones");
  const unsigned last = settings.firstPort + Soak::portsOf(settings) - 1;
  if (last > maxPort)
    return Problem::invalidField("first-port",
                                 std::to_string(settings.firstPort),
                                 "a port with " +
                                   std::to_string(Soak::portsOf(settings)) +
                                   " up to " + std::to_string(maxPort));
  return std::nullopt;
}

} // namespace

Result<SoakOptions>
SoakOptions::parse(const std::vector<std::string>& arguments)
{
  SoakOptions options;
  const std::vector<Option> known = allOptions(options);
  po::variables_map values;
  try {
    const po::options_description descriptions = descriptionsOf(known);
    po::store(po::command_line_parser(arguments)
                .options(descriptions)
                .style(style)
                .positional({})
                .run(),
              values);
  } catch (const po::error_with_option_name& error) {
    return failure(refusedOption(error.get_option_name()));
  } catch (const po::error& error) {
    return failure(
      Problem::invalidField("command line", error.what(), "what --help says"));
  }
  options.asksForHelp = values.count(helpFlag) > 0;
  for (const Option& option : known) {
    const auto text = values[option.name].as<std::string>();
    if (const auto allowed = option.set(text))
      return failure(Problem::invalidField(option.name, text, *allowed));
  }
  if (const auto problem = checkTogether(options.settings))
    return failure(*problem);
  return options;
}

void
SoakOptions::printHelp(std::ostream& output)
{
  SoakOptions options;
  output << descriptionsOf(allOptions(options));
}

} // namespace cowslippin::testing
