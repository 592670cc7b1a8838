#include "libhttp/http.h"
#include "system/region.h"

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>

/// Measures what the daemon adds to a request over calling an endpoint
/// directly, with one and with many requests in flight, on loopback with
/// stand-ins; and the resident memory of an idle daemon.

namespace {

using namespace cowslippin;
using testing::Region;

constexpr int runTimeMs = 50;
constexpr int manyInFlight = 400;
constexpr int burst = 600;
constexpr int slotsForAll = 700;
constexpr int callsAlone = 200;
constexpr int callsAtOnce = 8000;

/// How requests of a run are sent.
struct Path
{
  std::string name;
  Address target;
  std::string url;
  /// The idempotency key of each call; none if it returns an empty text.
  std::function<std::string(int)> key;
};

struct Summary
{
  double p50 = 0;
  double p99 = 0;
  double worst = 0;
  int failed = 0;
};

/// Keeps a number of calls in flight until all have been made.
class LoadRun
{
public:
  LoadRun(const Path& path, int calls, int inFlight)
    : m_path(path)
    , m_calls(calls)
    , m_endpoint(targetOf(path, inFlight))
    , m_client(EndpointClient::Settings{})
  {
    for (int i = 0; i < inFlight; ++i) {
      begin();
    }
  }

  Summary finish()
  {
    std::unique_lock lock(m_mutex);
    m_finished.wait(lock, [this] { return m_ended == m_calls; });
    std::sort(m_times.begin(), m_times.end());
    return { at(0.5), at(0.99), at(1.0), m_failed };
  }

private:
  static Endpoint targetOf(const Path& path, int inFlight)
  {
    Endpoint::Fields fields;
    fields.id = EndpointId("target");
    fields.address = path.target;
    fields.connections = inFlight;
    return Endpoint(fields);
  }

  void begin()
  {
    EndpointCall::Fields fields(m_endpoint);
    {
      const std::lock_guard lock(m_mutex);
      if (m_begun == m_calls) {
        return;
      }
      const std::string key = m_path.key(m_begun++);
      if (!key.empty()) {
        fields.headers.emplace_back("Idempotency-Key", key);
      }
    }
    fields.path = m_path.url;
    fields.body = R"({"slot":"2026-12-03T10:00"})";
    m_client.call(EndpointCall(fields), [this](const CallEnd& end) {
      ended(end);
      begin();
    });
  }

  void ended(const CallEnd& end)
  {
    const std::lock_guard lock(m_mutex);
    m_failed += end.outcome() == CallOutcome::Answered ? 0 : 1;
    m_times.push_back(
      std::chrono::duration<double, std::milli>(end.elapsed()).count());
    ++m_ended;
    m_finished.notify_all();
  }

  double at(double quantile) const
  {
    const auto last = static_cast<double>(m_times.size() - 1);
    return m_times[static_cast<std::size_t>(quantile * last)];
  }

  const Path& m_path;
  const int m_calls;
  const Endpoint m_endpoint;
  std::mutex m_mutex;
  std::condition_variable m_finished;
  int m_begun = 0;
  int m_ended = 0;
  int m_failed = 0;
  std::vector<double> m_times;
  EndpointClient m_client;
};

void
printRow(const std::string& name, int inFlight, const Summary& summary)
{
  std::cout << std::left << std::setw(34) << name << std::right << std::setw(10)
            << inFlight << std::fixed << std::setprecision(2) << std::setw(10)
            << summary.p50 << std::setw(10) << summary.p99 << std::setw(10)
            << summary.worst << std::setw(8) << summary.failed << std::endl;
}

void
measure(const Path& path, int calls, int inFlight)
{
  printRow(path.name, inFlight, LoadRun(path, calls, inFlight).finish());
}

std::string
residentMemory(pid_t pid)
{
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return line;
    }
  }
  return "VmRSS: unknown";
}

std::vector<std::string>
tickets(Region& region, int count)
{
  constexpr int perCall = 1000;
  std::vector<std::string> all;
  while (static_cast<int>(all.size()) < count) {
    const std::string path = "/v1/tickets?count=" + std::to_string(perCall);
    const auto json = testing::jsonOf(region.call(0, "POST", path));
    for (const auto& ticket : json["tickets"]) {
      all.push_back(ticket);
    }
  }
  return all;
}

} // namespace

int
main()
{
  testing::RegionSpec spec;
  spec.zones = { "zone-a" };
  spec.runTimeMs = runTimeMs;
  spec.slots = slotsForAll;
  Region region(spec);
  std::cout << "idle daemon " << residentMemory(region.daemon(0).process->pid())
            << "\n\nTimes in ms; the endpoint runs each task for " << runTimeMs
            << " ms.\n"
            << std::left << std::setw(34) << "path" << std::right
            << std::setw(10) << "in flight" << std::setw(10) << "p50"
            << std::setw(10) << "p99" << std::setw(10) << "worst"
            << std::setw(8) << "failed" << std::endl;
  const std::string base = "/v1/organisations/notaries/templates/";
  const Address daemon = region.daemon(0).http;
  int round = 0;
  for (const int inFlight : { 1, manyInFlight }) {
    const int calls = inFlight == 1 ? callsAlone : callsAtOnce;
    const std::vector<std::string> issued = tickets(region, calls);
    const auto noKey = [](int) { return std::string(); };
    const auto opaque = [round](int call) {
      return std::to_string(round) + "-" + std::to_string(call);
    };
    const auto ticketed = [&issued](int call) {
      return issued[static_cast<std::size_t>(call)];
    };
    const std::vector<Path> paths = {
      { "endpoint directly", region.endpoint(0).address, "/run", noKey },
      { "daemon, repeatable", daemon, base + "look-up/requests", noKey },
      { "daemon, not repeatable, ticket",
        daemon,
        base + "confirm/requests",
        ticketed },
      { "daemon, not repeatable, own key",
        daemon,
        base + "confirm/requests",
        opaque },
    };
    for (const Path& path : paths) {
      measure(path, calls, inFlight);
    }
    ++round;
  }
  const Path atOnce = { "600 new connections at once",
                        daemon,
                        base + "look-up/requests",
                        [](int) { return std::string(); } };
  measure(atOnce, burst, burst);
  std::cout << "\nafter the load "
            << residentMemory(region.daemon(0).process->pid()) << std::endl;
  return 0;
}
