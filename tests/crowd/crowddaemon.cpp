#include "crowddaemon.h"

#include "processusage.h"

#include "libasynchttp/asynchttp.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace cowslippin::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration callerTimeout = seconds(3);
constexpr Duration retryDelay = milliseconds(100);
/// Clients whose connections make progress all the time don't arrive.
constexpr Duration arrivalLimit = seconds(5);
constexpr Duration measureInterval = milliseconds(50);
constexpr std::size_t bytesPerMegabyte = std::size_t(1) << 20;

HttpCallRequest
jobRequest(const std::string& job)
{
  HttpCallRequest order;
  order.method = "POST";
  order.target = "/jobs/" + job;
  order.headers.emplace_back("X-Cowslippin-Request-Deadline-Ms", "3000");
  order.contentType = "application/json";
  order.body = json{
    { "spec", "20,1000" },
    { "best_effort", true },
    { "steps", { { { "count", 2 }, { "cpu", 1000 }, { "estimate_ms", 20 } } } }
  }.dump();
  return order;
}

} // namespace

CrowdDaemon::CrowdDaemon()
  : m_folder((std::filesystem::temp_directory_path() /
              ("cowslippin-crowd-" + std::to_string(getpid())))
               .string())
{
}

void
CrowdDaemon::SetUp()
{
  std::filesystem::create_directories(m_folder);
  LeasedPlatform::Settings settings;
  settings.zones = 1;
  settings.workersPerZone = 2;
  settings.storePort = address(0).port();
  settings.firstWorkerPort = address(firstWorkerPort).port();
  m_platform = std::make_unique<LeasedPlatform>(m_context, settings, 1);
  startDaemon();
  checkThatAJobIsServed("before the crowd");
}

void
CrowdDaemon::TearDown()
{
  m_crowd.clear();
  m_daemon.reset();
  std::filesystem::remove_all(m_folder);
}

Address
CrowdDaemon::address(std::uint16_t offset) const
{
  return { "127.0.4.1", static_cast<std::uint16_t>(m_firstPort + offset) };
}

void
CrowdDaemon::startDaemon()
{
  const std::string settingsFile = m_folder + "/settings.json";
  const json settings = {
    { "node_name", "crowded" },
    { "zone", "z0" },
    { "ip", peerAddress().host() },
    { "internal_ports", { peerAddress().port() } },
    { "seeds", json::array() },
    { "listen_addrs",
      { { "frontend", callerAddress().toString() },
        { "readiness", readinessAddress().toString() } } },
    { "platform",
      { { "address", Address("127.0.0.1", address(0).port()).toString() } } },
    { "limits",
      { { "memory_mb", memoryMegabytes }, { "max_fds", maxDescriptors } } },
    { "bounds", { { "grace_s", 6 } } }
  };
  std::ofstream(settingsFile) << settings.dump();
  m_daemon = std::make_unique<DaemonProcess>(
    std::vector<std::string>{ "/usr/bin/env",
                              "COWSLIPPIN_BOOT=" + settingsFile,
                              DAEMON_PROGRAM,
                              "--operator-port",
                              std::to_string(operatorAddress().port()) },
    "");
}

void
CrowdDaemon::addClients(unsigned count, const CrowdClient::Settings& settings)
{
  for (unsigned i = 0; i < count; ++i)
    m_crowd.push_back(std::make_unique<CrowdClient>(m_context, settings));
}

void
CrowdDaemon::checkServiceBesideCrowd()
{
  await(
    [this] {
      return std::all_of(
        m_crowd.begin(), m_crowd.end(), [](const auto& client) {
          return client->hasArrived();
        });
    },
    arrivalLimit);
  checkThatAJobIsServed("beside the crowd");
  m_crowd.clear();
  checkThatAJobIsServed("after the crowd");
  std::cout << "peak: " << m_peakBytes / bytesPerMegabyte << " MB, of these "
            << m_peakUnreadBytes / bytesPerMegabyte << " MB unread, "
            << m_peakDescriptors << " descriptors" << std::endl;
  EXPECT_FALSE(hasEnded(m_daemon->pid()));
  EXPECT_LT(m_peakBytes, memoryMegabytes * bytesPerMegabyte);
  EXPECT_LT(m_peakDescriptors, maxDescriptors - fileDescriptors);
}

void
CrowdDaemon::checkThatAJobIsServed(const std::string& when)
{
  bool isServed = false;
  std::shared_ptr<AsyncHttpConnection> caller;
  TimePoint nextAt{};
  const std::string job = "job-" + std::to_string(m_jobs++);
  EXPECT_TRUE(await([&] {
    if (caller)
      caller->expire(steadyNow());
    if ((!caller || !caller->isBusy()) && steadyNow() >= nextAt) {
      nextAt = steadyNow() + retryDelay;
      caller = std::make_shared<AsyncHttpConnection>(
        m_context, callerAddress(), "jobs.example");
      caller->call(
        jobRequest(job),
        steadyNow() + callerTimeout,
        [&](const HttpCallResult& end) { isServed |= end.status == 200; });
    }
    return isServed;
  }))
    << "no answer " << when;
}

template<class Condition>
bool
CrowdDaemon::await(Condition condition, Duration maxWait)
{
  const TimePoint limit = steadyNow() + maxWait;
  while (!condition()) {
    if (steadyNow() > limit)
      return false;
    run();
  }
  return true;
}

void
CrowdDaemon::run()
{
  m_context.run_for(milliseconds(10));
  measure();
}

void
CrowdDaemon::measure()
{
  if (!m_daemon || steadyNow() < m_nextMeasureAt)
    return;
  m_nextMeasureAt = steadyNow() + measureInterval;
  const std::size_t unread = unreadBytes(
    { callerAddress(), readinessAddress(), peerAddress(), operatorAddress() });
  m_peakUnreadBytes = std::max(m_peakUnreadBytes, unread);
  m_peakBytes = std::max(m_peakBytes, residentBytes(m_daemon->pid()) + unread);
  m_peakDescriptors =
    std::max(m_peakDescriptors, openDescriptors(m_daemon->pid()));
}

} // namespace cowslippin::testing
