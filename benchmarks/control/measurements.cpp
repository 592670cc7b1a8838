#include "measurements.h"

#include "load.h"
#include "trafficcounter.h"

#include "system/region.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>

using namespace cowslippin;
using testing::Region;

namespace {

constexpr int defaultListIntervalMs = 1000;
constexpr int settleSeconds = 5;
constexpr int watchSeconds = 20;
constexpr int vmListWatchSeconds = 10;
constexpr double percent = 100;
constexpr double microseconds = 1e6;
constexpr double bytesAKb = 1024;

void
sleepSeconds(int seconds)
{
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
}

/// What one daemon used between the constructor and `used()`.
class Watch
{
public:
  explicit Watch(pid_t pid)
    : m_pid(pid)
    , m_traffic(pid)
    , m_before(processUsage(pid))
  {
  }

  /// To be called about once a second.
  void look() { m_traffic.look(); }

  ProcessUsage used()
  {
    m_traffic.look();
    ProcessUsage used = processUsage(m_pid) - m_before;
    used.bytesIn = m_traffic.traffic().bytesIn;
    used.bytesOut = m_traffic.traffic().bytesOut;
    used.segmentsIn = m_traffic.traffic().segmentsIn;
    used.segmentsOut = m_traffic.traffic().segmentsOut;
    return used;
  }

private:
  pid_t m_pid;
  TrafficCounter m_traffic;
  ProcessUsage m_before;
};

pid_t
pidOf(Region& region, std::size_t daemon)
{
  return region.daemon(daemon).process->pid();
}

void
printIdleHead()
{
  std::cout << std::left << std::setw(38) << "a daemon" << std::right
            << std::setw(10) << "MB" << std::setw(10) << "% core"
            << std::setw(10) << "B/s in" << std::setw(10) << "B/s out"
            << std::setw(10) << "seg/s in" << std::setw(10) << "seg/s out"
            << std::endl;
}

void
printIdleRow(const std::string& name,
             double residentKb,
             const ProcessUsage& used,
             int seconds)
{
  const auto time = static_cast<double>(seconds);
  std::cout << std::left << std::setw(38) << name << std::right << std::fixed
            << std::setprecision(2) << std::setw(10) << residentKb / bytesAKb
            << std::setw(10) << used.cpuSeconds / time * percent
            << std::setprecision(0) << std::setw(10) << used.bytesIn / time
            << std::setw(10) << used.bytesOut / time << std::setprecision(1)
            << std::setw(10) << used.segmentsIn / time << std::setw(10)
            << used.segmentsOut / time << std::endl;
}

/// Watches idle daemons side by side and prints a row for each.
void
watchIdle(Region& region,
          const std::vector<std::size_t>& daemons,
          const std::string& name,
          int seconds)
{
  std::vector<Watch> watches;
  watches.reserve(daemons.size());
  for (const std::size_t daemon : daemons) {
    watches.emplace_back(pidOf(region, daemon));
  }
  for (int second = 0; second < seconds; ++second) {
    sleepSeconds(1);
    for (Watch& watch : watches) {
      watch.look();
    }
  }
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const pid_t pid = pidOf(region, daemons[i]);
    printIdleRow(name + ", " + region.daemon(daemons[i]).vm,
                 processUsage(pid).residentKb,
                 watches[i].used(),
                 seconds);
  }
}

void
printSlope(const std::string& name, double value, const std::string& unit)
{
  std::cout << "  " << std::left << std::setw(52) << name << std::right
            << std::fixed << std::setprecision(2) << std::setw(12) << value
            << ' ' << unit << std::endl;
}

/// Prints what each of `items` cost.
void
printSlopes(const std::string& name, const ProcessUsage& used, int items)
{
  const auto count = static_cast<double>(items);
  std::cout << name << ", " << items << " of them" << std::endl;
  printSlope("memory each", used.residentKb * bytesAKb / count, "B");
  printSlope("CPU each", used.cpuSeconds * microseconds / count, "us");
  printSlope("in each", used.bytesIn / count, "B");
  printSlope("out each", used.bytesOut / count, "B");
  printSlope("segments each, in and out",
             (used.segmentsIn + used.segmentsOut) / count,
             "");
}

testing::RegionSpec
smallRegion(int daemons)
{
  constexpr int manySlots = 400;
  testing::RegionSpec spec;
  spec.zones = { "zone-a" };
  spec.daemonsPerZone = daemons;
  spec.runTimeMs = 1;
  spec.slots = manySlots;
  spec.vmListIntervalMs = defaultListIntervalMs;
  return spec;
}

std::string
submissionPath(const std::string& templateName, const std::string& kind)
{
  return "/v1/organisations/notaries/templates/" + templateName + "/" + kind;
}

/// Runs a load and prints how many of its calls failed, if any did.
void
runLoad(LoadSpec spec)
{
  const int calls = spec.calls;
  const int failed = Load(std::move(spec)).finish();
  if (failed != 0) {
    std::cout << "  FAILED: " << failed << " of " << calls << " calls"
              << std::endl;
  }
}

std::function<std::string(int)>
ownKeys(const std::string& prefix)
{
  return [prefix](int call) { return prefix + std::to_string(call); };
}

std::function<std::string(int)>
ticketsOf(Region& region, int count)
{
  constexpr int perCall = 1000;
  std::vector<std::string> tickets;
  while (static_cast<int>(tickets.size()) < count) {
    const auto json = testing::jsonOf(
      region.call(0, "POST", "/v1/tickets?count=" + std::to_string(perCall)));
    for (const auto& ticket : json["tickets"]) {
      tickets.push_back(ticket);
    }
  }
  return [tickets = std::move(tickets)](int call) {
    return tickets[static_cast<std::size_t>(call)];
  };
}

LoadSpec
requests(Region& region, const std::string& templateName, int calls)
{
  constexpr int inFlight = 100;
  LoadSpec spec;
  spec.target = region.daemon(0).http;
  spec.path = submissionPath(templateName, "requests");
  spec.body = R"({"slot":"2026-12-03T10:00"})";
  spec.calls = calls;
  spec.inFlight = inFlight;
  return spec;
}

LoadSpec
jobs(Region& region, int calls, int tasks)
{
  LoadSpec spec;
  spec.target = region.daemon(0).http;
  spec.path = submissionPath("confirm", "jobs");
  spec.body = testing::jobBody(tasks);
  spec.headers.emplace_back("Prefer", "wait");
  spec.calls = calls;
  spec.inFlight = 1;
  return spec;
}

/// Waits until the daemon has no submission that has not ended.
void
awaitIdle(Region& region)
{
  region.awaitState(0, "/v1/dump", [](const testing::HttpAnswer& answer) {
    return testing::jsonOf(answer)["submissions"]["live"].get<int>() == 0;
  });
}

void
addWorkers(nlohmann::json& list, int count)
{
  for (int i = 0; i < count; ++i) {
    list["vms"].push_back({ { "id", "worker-" + std::to_string(i) },
                            { "role", "worker" },
                            { "zone", "zone-a" },
                            { "state", "live" } });
  }
}

void
addEndpoints(nlohmann::json& list, int count)
{
  for (int i = 0; i < count; ++i) {
    list["endpoints"].push_back({ { "id", "spare-" + std::to_string(i) },
                                  { "service", "spare" },
                                  { "zone", "zone-a" },
                                  { "address", "127.0.0.1:9" },
                                  { "slots", 8 },
                                  { "connections", 64 },
                                  { "state", "live" } });
  }
}

void
putList(Region& region, const nlohmann::json& list)
{
  const auto answer =
    testing::httpCall(region.platform(), "PUT", "/vms", list.dump());
  if (answer.status != 200) {
    throw std::runtime_error("/vms was answered " + answer.body);
  }
}

/// Publishes new organisations or templates with the numbers `from` to `to`.
void
publish(Region& region,
        const std::string& kind,
        const std::string& body,
        int from,
        int to)
{
  for (int number = from; number < to; ++number) {
    const std::string path =
      "/v1/config/" + kind + "/published-" + std::to_string(number);
    const auto answer = region.call(0, "PUT", path, body);
    if (answer.status != 200) {
      throw std::runtime_error(path + " was answered " + answer.body);
    }
  }
}

std::uint64_t
configOffset(Region& region, std::size_t daemon)
{
  return testing::jsonOf(region.call(daemon, "GET", "/v1/config"))["offset"]
    .get<std::uint64_t>();
}

void
awaitOffset(Region& region, std::size_t daemon, std::uint64_t offset)
{
  while (configOffset(region, daemon) < offset) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// Publishes and prints what that cost daemon 1, which only follows.
void
measurePublishing(Region& region,
                  const std::string& kind,
                  const std::string& body,
                  int from,
                  int to)
{
  const std::uint64_t offset = configOffset(region, 0);
  Watch follower(pidOf(region, 1));
  publish(region, kind, body, from, to);
  awaitOffset(region, 1, offset + static_cast<std::uint64_t>(to - from));
  printSlopes("follower, new " + kind + " on top of " + std::to_string(from),
              follower.used(),
              to - from);
}

} // namespace

void
measureIdle()
{
  printIdleHead();
  for (const int daemonsPerZone : { 1, 3, 6 }) {
    testing::RegionSpec spec;
    spec.zones = { "zone-a", "zone-b", "zone-c" };
    spec.daemonsPerZone = daemonsPerZone;
    spec.vmListIntervalMs = defaultListIntervalMs;
    Region region(spec);
    sleepSeconds(settleSeconds);
    const std::size_t count = region.daemonCount();
    watchIdle(region,
              { 0, count / 2, count - 1 },
              "one of " + std::to_string(count),
              watchSeconds);
  }
}

void
measureVmList()
{
  printIdleHead();
  constexpr int few = 1000;
  constexpr int many = 5000;
  Region region(smallRegion(2));
  const nlohmann::json plain =
    testing::jsonOf(testing::httpCall(region.platform(), "GET", "/vms"));
  for (const int workers : { 0, few, many }) {
    nlohmann::json list = plain;
    addWorkers(list, workers);
    putList(region, list);
    sleepSeconds(settleSeconds);
    watchIdle(
      region, { 1 }, std::to_string(workers) + " workers", vmListWatchSeconds);
  }
  for (const int endpoints : { few, many }) {
    nlohmann::json list = plain;
    addEndpoints(list, endpoints);
    putList(region, list);
    sleepSeconds(settleSeconds);
    watchIdle(region,
              { 1 },
              std::to_string(endpoints) + " endpoints",
              vmListWatchSeconds);
  }
}

void
measureSubmissions()
{
  constexpr int warmUp = 5000;
  constexpr int calls = 20000;
  constexpr int jobCount = 20;
  constexpr int tasks = 2000;
  Region region(smallRegion(1));
  runLoad(requests(region, "look-up", warmUp));
  const auto measureRequests = [&](const std::string& name,
                                   const std::string& templateName,
                                   std::function<std::string(int)> key) {
    LoadSpec spec = requests(region, templateName, calls);
    spec.key = std::move(key);
    Watch watch(pidOf(region, 0));
    runLoad(std::move(spec));
    printSlopes(name, watch.used(), calls);
  };
  measureRequests("repeatable request without key", "look-up", {});
  measureRequests(
    "request under a ticket", "confirm", ticketsOf(region, calls));
  measureRequests("request under an own key", "confirm", ownKeys("own-"));
  Watch watch(pidOf(region, 0));
  runLoad(jobs(region, jobCount, tasks));
  awaitIdle(region);
  printSlopes("task of a job of 2,000", watch.used(), jobCount * tasks);
}

void
measureClaims()
{
  constexpr int warmUp = 5000;
  constexpr int calls = 40000;
  Region region(smallRegion(2));
  LoadSpec first = requests(region, "confirm", warmUp);
  first.key = ownKeys("warm-");
  runLoad(std::move(first));
  LoadSpec spec = requests(region, "confirm", calls);
  spec.key = ownKeys("own-");
  Watch other(pidOf(region, 1));
  Watch owner(pidOf(region, 0));
  runLoad(std::move(spec));
  printSlopes("claim, at a daemon that only reads it", other.used(), calls);
  printSlopes("request under an own key, at its owner", owner.used(), calls);
}

void
measureConfiguration()
{
  constexpr int some = 100;
  constexpr int organisations = 1100;
  const std::string organisation =
    R"({"urgency":5,"weight":2,"maxInFlight":500})";
  const std::string jobTemplate =
    R"({"service":"booking","path":"/run","repeatable":true})";
  Region region(smallRegion(2));
  measurePublishing(region, "organisations", organisation, 0, some);
  measurePublishing(
    region, "organisations", organisation, some, organisations - some);
  measurePublishing(
    region, "organisations", organisation, organisations - some, organisations);
  measurePublishing(region, "templates", jobTemplate, 0, 3 * some);
  printSlope(
    "whole configuration as JSON",
    static_cast<double>(region.call(0, "GET", "/v1/config").body.size()),
    "B");
}
