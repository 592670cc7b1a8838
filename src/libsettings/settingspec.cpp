#include "settingspec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace cowslippin {

namespace {

using Fields = DaemonSettings::Fields;
using Store = SettingSpec::Store;

constexpr std::size_t maxNameLength = 64;
constexpr char allowedName[] =
  "1 to 64 letters, digits, hyphens, underscores or dots";
constexpr char allowedLogLevel[] = "debug, info, warning or error";

bool
isNameCharacter(char c)
{
  const auto byte = static_cast<unsigned char>(c);
  return byte < 128 &&
         (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.');
}

bool
isName(const std::string& text)
{
  return !text.empty() && text.size() <= maxNameLength &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

template<class Number>
std::optional<Number>
parseNumber(const std::string& text)
{
  Number number{};
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (text.empty() || error != std::errc() || end != last) {
    return std::nullopt;
  }
  return number;
}

template<class NameType>
Store
storeName(NameType Fields::*member)
{
  return [member](const std::string& text, Fields& fields) -> std::string {
    if (!isName(text)) {
      return allowedName;
    }
    fields.*member = NameType(text);
    return "";
  };
}

/// Whether port 0, for one that the kernel chooses, is allowed.
enum class PortZero
{
  Allowed,
  Refused,
};

Store
storeAddress(Address Fields::*member, PortZero portZero)
{
  return
    [member, portZero](const std::string& text, Fields& fields) -> std::string {
      const Result<Address> address = Address::parse(text, "");
      if (!address) {
        return address.error().allowed();
      }
      if (portZero == PortZero::Refused && address->port() == 0) {
        return "a port from 1 to 65535";
      }
      fields.*member = *address;
      return "";
    };
}

std::string
storeLogLevel(const std::string& text, Fields& fields)
{
  const std::optional<LogLevel> level = logLevelFromString(text);
  if (!level) {
    return allowedLogLevel;
  }
  fields.logLevel = *level;
  return "";
}

/// Checks an integer against a range and hands it to `assign`.
template<class Assign>
Store
checkInteger(std::int64_t least, std::int64_t most, Assign assign)
{
  return [least, most, assign](const std::string& text,
                               Fields& fields) -> std::string {
    const auto number = parseNumber<std::int64_t>(text);
    if (!number || *number < least || *number > most) {
      return "a whole number from " + std::to_string(least) + " to " +
             std::to_string(most);
    }
    assign(fields, *number);
    return "";
  };
}

template<class Integer>
Store
storeInteger(Integer Fields::*member, std::int64_t least, std::int64_t most)
{
  return checkInteger(
    least, most, [member](Fields& fields, std::int64_t number) {
      fields.*member = static_cast<Integer>(number);
    });
}

template<class Unit>
Store
storeDuration(Duration Fields::*member, std::int64_t least, std::int64_t most)
{
  return checkInteger(
    least, most, [member](Fields& fields, std::int64_t number) {
      fields.*member = Unit(number);
    });
}

Store
storeMilliseconds(Duration Fields::*member,
                  std::int64_t least,
                  std::int64_t most)
{
  return storeDuration<std::chrono::milliseconds>(member, least, most);
}

Store
storeRate(double Fields::*member)
{
  return [member](const std::string& text, Fields& fields) -> std::string {
    constexpr double least = 0.1;
    constexpr double most = 1000;
    const auto number = parseNumber<double>(text);
    // Written so that a value that is not a number is refused.
    const bool isAllowed = number && *number >= least && *number <= most;
    if (!isAllowed) {
      return "a number from 0.1 to 1000";
    }
    fields.*member = *number;
    return "";
  };
}

SettingSpec
required(std::string name, std::string description, Store store)
{
  return {
    std::move(name), std::move(description), "", true, std::move(store)
  };
}

SettingSpec
optional(std::string name,
         std::string defaultText,
         std::string description,
         Store store)
{
  return { std::move(name),
           std::move(description),
           std::move(defaultText),
           false,
           std::move(store) };
}

std::vector<SettingSpec>
placeSpecs()
{
  return {
    required(
      "vm-id", "this VM's id in the platform's list", storeName(&Fields::vmId)),
    required("zone", "this VM's availability zone", storeName(&Fields::zone)),
    required("platform",
             "address of the platform's log and VM list",
             storeAddress(&Fields::platform, PortZero::Refused)),
    optional("region",
             "default",
             "region whose zones share claims",
             storeName(&Fields::region)),
    optional("http-listen",
             "127.0.0.1:7400",
             "address for callers and operators; port 0 = any free port",
             storeAddress(&Fields::httpListen, PortZero::Allowed)),
    optional("peer-listen",
             "127.0.0.1:7401",
             "address for other daemons; port 0 = any free port",
             storeAddress(&Fields::peerListen, PortZero::Allowed)),
    optional("advertised-http-address",
             "",
             "how callers reach this daemon; default: as --http-listen",
             storeAddress(&Fields::advertisedHttpAddress, PortZero::Refused)),
    optional("advertised-peer-address",
             "",
             "how other daemons reach this one; default: as --peer-listen",
             storeAddress(&Fields::advertisedPeerAddress, PortZero::Refused)),
  };
}

std::vector<SettingSpec>
limitSpecs()
{
  return {
    optional("log-level",
             "info",
             "least level that is logged: debug, info, warning or error",
             storeLogLevel),
    optional("max-http-threads",
             "800",
             "most requests answered at once",
             storeInteger(&Fields::maxHttpThreads, 8, 10'000)),
    optional("max-body-bytes",
             "4194304",
             "largest request body",
             storeInteger(&Fields::maxBodyBytes, 1024, 1 << 28)),
    optional("max-live-claims",
             "200000",
             "most submissions remembered at once",
             storeInteger(&Fields::maxLiveClaims, 100, 10'000'000)),
    optional("max-queued-tasks",
             "100000",
             "most tasks waiting at once",
             storeInteger(&Fields::maxQueuedTasks, 2000, 10'000'000)),
    optional("appends-per-second",
             "30",
             "most appends to the claim stream while the daemon appends for "
             "itself alone",
             storeRate(&Fields::appendsPerSecond)),
    optional("region-appends-per-second",
             "120",
             "most appends to the claim stream while the daemon appends for "
             "its region",
             storeRate(&Fields::regionAppendsPerSecond)),
  };
}

std::vector<SettingSpec>
timeSpecs()
{
  return {
    optional(
      "claim-window",
      "600",
      "seconds for which a resubmission is recognised",
      storeDuration<std::chrono::seconds>(&Fields::claimWindow, 10, 86'400)),
    optional(
      "log-retention",
      "3600",
      "seconds for which the platform's log surely keeps a record",
      storeDuration<std::chrono::seconds>(&Fields::logRetention, 1, 8'640'000)),
    optional("heartbeat-interval-ms",
             "500",
             "time between heartbeats to a peer",
             storeMilliseconds(&Fields::heartbeatInterval, 10, 60'000)),
    optional("peer-silence-ms",
             "2000",
             "silence after which a peer's connection is replaced",
             storeMilliseconds(&Fields::peerSilence, 20, 300'000)),
    optional("endpoint-connect-timeout-ms",
             "250",
             "time to wait for a connection to an endpoint",
             storeMilliseconds(&Fields::endpointConnectTimeout, 1, 60'000)),
    optional("crossing-penalty-ms",
             "100",
             "queueing time that running in another zone must save",
             storeMilliseconds(&Fields::crossingPenalty, 0, 60'000)),
    optional("drain-grace-ms",
             "30000",
             "how long a shutdown waits for work in flight",
             storeMilliseconds(&Fields::drainGrace, 0, 3'600'000)),
    optional("vm-list-interval-ms",
             "1000",
             "time between readings of the VM list",
             storeMilliseconds(&Fields::vmListInterval, 50, 60'000)),
    optional("config-snapshot-interval-ms",
             "600000",
             "time between snapshots of the configuration in the log; well "
             "below the log's retention",
             storeMilliseconds(&Fields::configSnapshotInterval, 50, 3'600'000)),
  };
}

std::vector<SettingSpec>
allSpecs()
{
  std::vector<SettingSpec> specs = placeSpecs();
  for (const auto& group : { limitSpecs(), timeSpecs() }) {
    specs.insert(specs.end(), group.begin(), group.end());
  }
  return specs;
}

} // namespace

const std::vector<SettingSpec>&
settingSpecs()
{
  static const std::vector<SettingSpec> specs = allSpecs();
  return specs;
}

const SettingSpec*
findSettingSpec(const std::string& name)
{
  const auto& specs = settingSpecs();
  const auto found =
    std::find_if(specs.begin(), specs.end(), [&](const SettingSpec& spec) {
      return spec.name == name;
    });
  return found == specs.end() ? nullptr : &*found;
}

std::string
flagName(const std::string& name)
{
  return "--" + name;
}

std::string
variableName(const std::string& name)
{
  std::string variable = "COWSLIPPIN_";
  for (const char c : name) {
    variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return variable;
}

} // namespace cowslippin
