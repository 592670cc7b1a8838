#include "region.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace cowslippin::testing {

namespace {

constexpr int connectionsPerSlot = 8;
constexpr Duration pollPause = std::chrono::milliseconds(10);

void
expectOk(const HttpAnswer& answer, const std::string& what)
{
  if (answer.status != 200) {
    throw std::runtime_error(what + " was answered " +
                             std::to_string(answer.status) + ": " +
                             answer.body);
  }
}

void
await(const std::string& what, const std::function<bool()>& holds)
{
  const TimePoint until = steadyNow() + hangLimit;
  while (!holds()) {
    if (steadyNow() >= until) {
      throw std::runtime_error("this never came about: " + what);
    }
    std::this_thread::sleep_for(pollPause);
  }
}

/// How others are told to reach what listens at `address`.
std::string
listedAddress(const Address& address, const std::unique_ptr<Relay>& relay)
{
  return (relay ? relay->address() : address).toString();
}

/// Reads `listening HTTP peers PEER`.
void
readAddresses(DaemonProcess& daemon)
{
  const std::string line = daemon.process->waitForLine("listening ");
  const std::size_t httpBegin = line.find(' ') + 1;
  const std::size_t httpEnd = line.find(' ', httpBegin);
  const std::size_t peerBegin = line.rfind(' ') + 1;
  daemon.http =
    *Address::parse(line.substr(httpBegin, httpEnd - httpBegin), "http");
  daemon.peer = *Address::parse(line.substr(peerBegin), "peer");
}

} // namespace

Region::Region(RegionSpec spec)
  : m_spec(std::move(spec))
{
  m_platform = std::make_unique<ChildProcess>(
    std::vector<std::string>{ PLATFORM_PROGRAM, "--listen", "127.0.0.1:0" });
  m_platformAddress = m_platform->waitForAddress();
  for (const std::string& zone : m_spec.zones) {
    for (int i = 0; i < m_spec.endpointsPerZone; ++i) {
      addEndpoint(zone);
    }
    for (int i = 0; i < m_spec.daemonsPerZone; ++i) {
      addDaemon(zone);
    }
  }
  publishVms();
  publishConfiguration();
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    awaitReady(i);
  }
}

DaemonProcess&
Region::addDaemon(const std::string& zone)
{
  const std::string vm = "vm-" + std::to_string(m_daemons.size() + 1);
  m_daemons.push_back(makeDaemon(vm, zone));
  return *m_daemons.back();
}

void
Region::restartDaemon(std::size_t index)
{
  const std::string vm = m_daemons[index]->vm;
  const std::string zone = m_daemons[index]->zone;
  m_daemons[index] = makeDaemon(vm, zone);
  publishVms();
}

std::unique_ptr<DaemonProcess>
Region::makeDaemon(const std::string& vm, const std::string& zone)
{
  auto daemon = std::make_unique<DaemonProcess>();
  daemon->vm = vm;
  daemon->zone = zone;
  std::vector<std::string> arguments = {
    DAEMON_PROGRAM,
    "--vm-id",
    vm,
    "--zone",
    zone,
    "--platform",
    m_platformAddress.toString(),
    "--http-listen",
    "127.0.0.1:0",
    "--peer-listen",
    "127.0.0.1:0",
    "--vm-list-interval-ms",
    std::to_string(m_spec.vmListIntervalMs),
  };
  arguments.insert(
    arguments.end(), m_spec.daemonFlags.begin(), m_spec.daemonFlags.end());
  daemon->process = std::make_unique<ChildProcess>(arguments);
  readAddresses(*daemon);
  if (m_spec.relayPeers) {
    daemon->relay = std::make_unique<Relay>(daemon->peer);
  }
  return daemon;
}

void
Region::addEndpoint(const std::string& zone)
{
  auto endpoint = std::make_unique<EndpointProcess>();
  endpoint->id = "endpoint-" + std::to_string(m_endpoints.size() + 1);
  endpoint->zone = zone;
  endpoint->process = std::make_unique<ChildProcess>(std::vector<std::string>{
    ENDPOINT_PROGRAM,
    "--listen",
    "127.0.0.1:0",
    "--run-time-ms",
    std::to_string(m_spec.runTimeMs),
    "--slots",
    std::to_string(m_spec.slots),
    "--connections",
    std::to_string(m_spec.slots * connectionsPerSlot),
  });
  endpoint->address = endpoint->process->waitForAddress();
  if (m_spec.relayEndpoints) {
    endpoint->relay = std::make_unique<Relay>(endpoint->address);
  }
  m_endpoints.push_back(std::move(endpoint));
}

void
Region::unlistDaemon(std::size_t index)
{
  m_unlisted.push_back(m_daemons[index]->vm);
  publishVms();
}

void
Region::publishVms()
{
  nlohmann::json vms = nlohmann::json::array();
  for (const auto& daemon : m_daemons) {
    const bool isUnlisted =
      std::count(m_unlisted.begin(), m_unlisted.end(), daemon->vm) != 0;
    if (!isUnlisted) {
      vms.push_back(
        { { "id", daemon->vm },
          { "role", "entry" },
          { "zone", daemon->zone },
          { "peerAddress", listedAddress(daemon->peer, daemon->relay) },
          { "httpAddress", daemon->http.toString() },
          { "state", daemon->state } });
    }
  }
  nlohmann::json endpoints = nlohmann::json::array();
  for (const auto& endpoint : m_endpoints) {
    if (!endpoint->isListed) {
      continue;
    }
    endpoints.push_back(
      { { "id", endpoint->id },
        { "service", "booking" },
        { "zone", endpoint->zone },
        { "address", listedAddress(endpoint->address, endpoint->relay) },
        { "slots", m_spec.slots },
        { "connections", m_spec.slots * connectionsPerSlot },
        { "state", endpoint->state } });
  }
  const nlohmann::json list = { { "version", ++m_listVersion },
                                { "vms", vms },
                                { "endpoints", endpoints } };
  expectOk(httpCall(m_platformAddress, "PUT", "/vms", list.dump()), "/vms");
}

void
Region::publishConfiguration()
{
  awaitState(0, "/v1/config", [](const HttpAnswer& answer) {
    return answer.status == 200;
  });
  const nlohmann::json confirm = { { "service", "booking" },
                                   { "path", "/run" },
                                   { "repeatable", false },
                                   { "declaredRunTimeMs", m_spec.runTimeMs } };
  nlohmann::json lookUp = confirm;
  lookUp["repeatable"] = true;
  expectOk(call(0, "PUT", "/v1/config/templates/confirm", confirm.dump()),
           "template confirm");
  expectOk(call(0, "PUT", "/v1/config/templates/look-up", lookUp.dump()),
           "template look-up");
  expectOk(call(0, "PUT", "/v1/config/organisations/notaries", "{}"),
           "organisation notaries");
}

void
Region::setPlatformFaults(const nlohmann::json& faults)
{
  expectOk(httpCall(m_platformAddress, "PUT", "/faults", faults.dump()),
           "platform faults");
}

void
Region::setEndpointFaults(std::size_t index, const nlohmann::json& faults)
{
  expectOk(
    httpCall(m_endpoints[index]->address, "PUT", "/faults", faults.dump()),
    "endpoint faults");
}

int
Region::totalStarts()
{
  int total = 0;
  for (const auto& endpoint : m_endpoints) {
    total +=
      jsonOf(httpCall(endpoint->address, "GET", "/starts"))["total"].get<int>();
  }
  return total;
}

std::map<std::string, int>
Region::startsAt(std::size_t endpoint)
{
  const nlohmann::json json =
    jsonOf(httpCall(m_endpoints[endpoint]->address, "GET", "/starts"));
  return json["tasks"].get<std::map<std::string, int>>();
}

int
Region::mostStartsOfOneTask()
{
  std::map<std::string, int> starts;
  for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
    for (const auto& [task, count] : startsAt(i)) {
      starts[task] += count;
    }
  }
  int most = 0;
  for (const auto& [task, count] : starts) {
    most = std::max(most, count);
  }
  return most;
}

void
Region::cutDaemonsOff()
{
  for (const auto& daemon : m_daemons) {
    daemon->relay->silenceNewConnections();
    daemon->relay->silenceOpenConnections();
  }
}

void
Region::joinDaemons()
{
  for (const auto& daemon : m_daemons) {
    daemon->relay->carryNewConnections();
  }
}

void
Region::awaitState(std::size_t daemon,
                   const std::string& path,
                   const std::function<bool(const HttpAnswer&)>& holds)
{
  await(path, [&] { return holds(call(daemon, "GET", path)); });
}

void
Region::awaitReady(std::size_t daemon)
{
  awaitState(daemon, "/health", [](const HttpAnswer& answer) {
    return answer.status == 200;
  });
  // The fixtures are there once all three records of set-up are in force.
  awaitState(daemon, "/v1/config", [](const HttpAnswer& answer) {
    return jsonOf(answer)["offset"].get<int>() >= 3;
  });
  // Claims can be made, and every other daemon can be asked.
  const std::size_t others = m_daemons.size() - 1 - m_unlisted.size();
  awaitState(daemon, "/v1/dump", [&](const HttpAnswer& answer) {
    const nlohmann::json dump = jsonOf(answer);
    const auto& peers = dump["peers"];
    const auto connected =
      std::count_if(peers.begin(), peers.end(), [](const auto& peer) {
        return peer["connected"].template get<bool>();
      });
    return dump["claims"]["caughtUp"].get<bool>() &&
           static_cast<std::size_t>(connected) >= others;
  });
}

void
Region::awaitStarts(int count)
{
  await(std::to_string(count) + " starts",
        [&] { return totalStarts() >= count; });
}

HttpAnswer
Region::call(std::size_t daemon,
             const std::string& method,
             const std::string& path,
             const std::string& body,
             const std::vector<HttpField>& headers)
{
  return httpCall(m_daemons[daemon]->http, method, path, body, headers);
}

HttpAnswer
Region::request(std::size_t daemon,
                const std::string& templateName,
                const std::string& body,
                const std::vector<HttpField>& headers)
{
  return call(daemon,
              "POST",
              "/v1/organisations/notaries/templates/" + templateName +
                "/requests",
              body,
              headers);
}

HttpAnswer
Region::submitJob(std::size_t daemon,
                  int tasks,
                  const std::vector<HttpField>& headers)
{
  return call(daemon,
              "POST",
              "/v1/organisations/notaries/templates/confirm/jobs",
              jobBody(tasks),
              headers);
}

std::string
Region::ticket(std::size_t daemon)
{
  return jsonOf(call(daemon, "POST", "/v1/tickets"))["tickets"][0];
}

nlohmann::json
jsonOf(const HttpAnswer& answer)
{
  nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
  EXPECT_FALSE(json.is_discarded()) << answer.status << " " << answer.body;
  return json;
}

HttpField
key(const std::string& value)
{
  return { "Idempotency-Key", value };
}

std::string
problemType(const HttpAnswer& answer)
{
  return jsonOf(answer).value("type", "");
}

std::string
problemUrn(const std::string& slug)
{
  return "urn:cowslippin:problem:" + slug;
}

std::string
jobBody(int tasks)
{
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < tasks; ++i) {
    list.push_back({ { "number", i } });
  }
  return nlohmann::json{ { "tasks", list } }.dump();
}

} // namespace cowslippin::testing
