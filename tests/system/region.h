#pragma once

#include "support/childprocess.h"
#include "support/httpcall.h"
#include "support/relay.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A daemon process of a test's region.
struct DaemonProcess
{
  std::string vm;
  std::string zone;
  std::unique_ptr<ChildProcess> process;
  Address http;
  Address peer;
  /// In front of `peer`, if the region has relays between its daemons.
  std::unique_ptr<Relay> relay;
  std::string state = "live";
};

/// A stand-in endpoint of a test's region.
struct EndpointProcess
{
  std::string id;
  std::string zone;
  std::unique_ptr<ChildProcess> process;
  Address address;
  /// In front of `address`, if the region has relays to its endpoints.
  std::unique_ptr<Relay> relay;
  std::string state = "live";
  bool isListed = true;
};

/// What a region is made of.
struct RegionSpec
{
  std::vector<std::string> zones = { "zone-a", "zone-b" };
  int daemonsPerZone = 1;
  int endpointsPerZone = 1;
  int runTimeMs = 20;
  /// Of each endpoint; it accepts eight times as many connections.
  int slots = 8;
  int vmListIntervalMs = 100;
  std::vector<std::string> daemonFlags;
  /// Whether the list names relays in place of the daemons' peer addresses.
  bool relayPeers = false;
  /// Whether it names relays in place of the endpoints' addresses.
  bool relayEndpoints = false;
};

/// A whole region of real processes on loopback: a stand-in platform, stand-in
/// endpoints of the service `booking`, and daemons. The template `confirm` is
/// not repeatable, the template `look-up` is, and the organisation is
/// `notaries`.
class Region
{
public:
  explicit Region(RegionSpec spec = {});

  DaemonProcess& daemon(std::size_t index) { return *m_daemons[index]; }
  std::size_t daemonCount() const { return m_daemons.size(); }
  EndpointProcess& endpoint(std::size_t index) { return *m_endpoints[index]; }
  const Address& platform() const { return m_platformAddress; }

  /// Starts one more daemon, on a new VM that `publishVms` will list.
  DaemonProcess& addDaemon(const std::string& zone);

  /// Starts the daemon's VM anew with a new process.
  void restartDaemon(std::size_t index);

  /// Takes the daemon's VM off the list, without touching the process.
  void unlistDaemon(std::size_t index);

  /// Makes the platform show the VMs and endpoints as they are now.
  void publishVms();

  /// Sets fault switches of the platform or an endpoint.
  void setPlatformFaults(const nlohmann::json& faults);
  void setEndpointFaults(std::size_t index, const nlohmann::json& faults);

  /// How often any task was started, and the most that one was.
  int totalStarts();
  int mostStartsOfOneTask();

  /// How often each task was started at one endpoint.
  std::map<std::string, int> startsAt(std::size_t endpoint);

  /// Waits until the daemon answers `GET path` so that `holds`.
  void awaitState(std::size_t daemon,
                  const std::string& path,
                  const std::function<bool(const HttpAnswer&)>& holds);

  void awaitReady(std::size_t daemon);
  void awaitStarts(int count);

  /// One call of a daemon's HTTP interface.
  HttpAnswer call(std::size_t daemon,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = {},
                  const std::vector<HttpField>& headers = {});

  HttpAnswer request(std::size_t daemon,
                     const std::string& templateName,
                     const std::string& body,
                     const std::vector<HttpField>& headers = {});

  HttpAnswer submitJob(std::size_t daemon,
                       int tasks,
                       const std::vector<HttpField>& headers = {});

  /// One ticket of the daemon.
  std::string ticket(std::size_t daemon);

  /// No connection between daemons carries anything any more, new ones
  /// included, until `joinDaemons`.
  void cutDaemonsOff();
  void joinDaemons();

private:
  std::unique_ptr<DaemonProcess> makeDaemon(const std::string& vm,
                                            const std::string& zone);
  void addEndpoint(const std::string& zone);
  void publishConfiguration();

  RegionSpec m_spec;
  std::unique_ptr<ChildProcess> m_platform;
  Address m_platformAddress;
  std::vector<std::unique_ptr<EndpointProcess>> m_endpoints;
  std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
  std::vector<std::string> m_unlisted;
  int m_listVersion = 0;
};

/// The JSON of a body; the test fails if it is none.
nlohmann::json
jsonOf(const HttpAnswer& answer);

/// The header that has a job's submission wait for the answer.
inline const HttpField waitForAnswer = { "Prefer", "wait" };

/// The header that gives a submission its key.
HttpField
key(const std::string& value);

/// The type of the problem in a body; empty if it is none.
std::string
problemType(const HttpAnswer& answer);

/// The type of the problems with this slug.
std::string
problemUrn(const std::string& slug);

/// The body of a job with this many numbered tasks.
std::string
jobBody(int tasks);

} // namespace cowslippin::testing
