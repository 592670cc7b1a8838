#include "platformstandinprocess.h"

#include "libplatform/platform.h"

#include "support/eventlog.h"
#include "support/loopbacklistener.h"
#include "support/scriptedserver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <unistd.h>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using testing::EventLog;
using testing::httpBytes;
using testing::PlatformStandinProcess;
using testing::ScriptedServer;

const StreamName stream("claims");

/// Longer than any wait of a test, so that only stop() can end the poll.
constexpr Duration endlessPoll = 3 * testing::hangLimit;

LogFollower::Hooks
reportTo(EventLog& log)
{
  LogFollower::Hooks hooks;
  hooks.records = [&log](const LogPage& page) {
    for (const LogRecord& record : page.records()) {
      log.add(std::to_string(record.offset()) + "=" + record.body());
    }
  };
  hooks.caughtUp = [&log](Offset end) {
    log.add("caught up " + std::to_string(end));
  };
  hooks.gap = [&log](Offset first) { log.add("gap " + std::to_string(first)); };
  hooks.unavailable = [&log](const Problem&) { log.add("unavailable"); };
  hooks.recovered = [&log] { log.add("recovered"); };
  return hooks;
}

LogFollower::Settings
settingsFor(const Address& platform)
{
  LogFollower::Settings settings;
  settings.platform = platform;
  settings.stream = stream;
  settings.pageLimit = 2;
  settings.minPause = milliseconds(10);
  return settings;
}

void
appendAll(const Address& platform, const std::vector<std::string>& bodies)
{
  LogClient client(platform);
  for (const std::string& body : bodies) {
    client.append(stream, body, testing::hangLimit);
  }
}

TEST(LogFollower, ReadsEverythingInOrderAndThenWhatComes)
{
  const PlatformStandinProcess platform;
  appendAll(platform.address(), { "a", "b", "c" });
  EventLog log;
  LogFollower follower(settingsFor(platform.address()), reportTo(log));
  follower.start();
  ASSERT_TRUE(log.waitFor("caught up 4"));
  appendAll(platform.address(), { "d" });
  ASSERT_TRUE(log.waitFor("caught up 5"));
  follower.stop();
  std::vector<std::string> events = log.events();
  events.erase(std::unique(events.begin(), events.end()), events.end());
  const std::vector<std::string> expected = { "1=a", "2=b",
                                              "3=c", "caught up 4",
                                              "4=d", "caught up 5" };
  EXPECT_EQ(events, expected);
}

TEST(LogFollower, ReportsRecordsThatRetentionDropped)
{
  const PlatformStandinProcess platform;
  platform.setFaults(R"({"retainRecords":1})");
  appendAll(platform.address(), { "a", "b", "c" });
  EventLog log;
  LogFollower follower(settingsFor(platform.address()), reportTo(log));
  follower.start();
  ASSERT_TRUE(log.waitFor("caught up 4"));
  follower.stop();
  const std::vector<std::string> events = log.events();
  ASSERT_GE(events.size(), 2u);
  EXPECT_EQ(events[0], "gap 3");
  EXPECT_EQ(events[1], "3=c");
}

TEST(LogFollower, ReportsAnOutageOnceAndItsEnd)
{
  const PlatformStandinProcess platform;
  EventLog log;
  LogFollower follower(settingsFor(platform.address()), reportTo(log));
  follower.start();
  ASSERT_TRUE(log.waitFor("caught up 1"));
  platform.setFaults(R"({"down":true})");
  ASSERT_TRUE(log.waitFor("unavailable"));
  platform.setFaults(R"({"down":false})");
  ASSERT_TRUE(log.waitFor("recovered"));
  appendAll(platform.address(), { "a" });
  ASSERT_TRUE(log.waitFor("1=a"));
  follower.stop();
  EXPECT_EQ(log.count("unavailable"), 1u);
}

TEST(LogFollower, ASilentConnectionIsNotYetAnOutage)
{
  const std::string empty = R"({"first":1,"end":1,"records":[]})";
  const std::string one =
    R"({"first":1,"end":2,"records":[{"offset":1,"body":"a"}]})";
  ScriptedServer server(
    { { httpBytes(200, empty) }, { "" }, { httpBytes(200, one) } });
  EventLog log;
  LogFollower::Settings settings = settingsFor(server.address());
  settings.pollWait = milliseconds(50);
  settings.timeout = milliseconds(100);
  LogFollower follower(settings, reportTo(log));
  follower.start();
  ASSERT_TRUE(log.waitFor("1=a"));
  const std::vector<std::string> events = log.events();
  EXPECT_EQ(std::count(events.begin(), events.begin() + 2, "unavailable"), 0);
}

TEST(LogFollower, StopEndsAPollInFlight)
{
  const PlatformStandinProcess platform;
  EventLog log;
  LogFollower::Settings settings = settingsFor(platform.address());
  settings.pollWait = endlessPoll;
  LogFollower follower(settings, reportTo(log));
  appendAll(platform.address(), { "a" });
  follower.start();
  ASSERT_TRUE(log.waitFor("caught up 2"));
  auto stopped = std::async(std::launch::async, [&] { follower.stop(); });
  EXPECT_EQ(stopped.wait_for(testing::hangLimit), std::future_status::ready);
}

TEST(LogFollower, StopEndsAPause)
{
  const int listener = testing::listenOnLoopback(1);
  const Address address = testing::boundAddress(listener);
  close(listener);
  EventLog log;
  LogFollower::Settings settings = settingsFor(address);
  settings.minPause = endlessPoll;
  settings.maxPause = endlessPoll;
  LogFollower follower(settings, reportTo(log));
  follower.start();
  ASSERT_TRUE(log.waitFor("unavailable"));
  auto stopped = std::async(std::launch::async, [&] { follower.stop(); });
  EXPECT_EQ(stopped.wait_for(testing::hangLimit), std::future_status::ready);
}

} // namespace

} // namespace cowslippin
