#include "region.h"

#include <gtest/gtest.h>

#include <future>

namespace cowslippin::testing {
namespace {

constexpr char counterPath[] = "/v1/config/templates/counter";

nlohmann::json
counterTemplate(int value)
{
  return { { "service", "booking" },
           { "path", "/run" },
           { "declaredRunTimeMs", value } };
}

/// The template `counter` as a daemon shows it.
nlohmann::json
shownCounter(Region& region, std::size_t daemon)
{
  const nlohmann::json config =
    jsonOf(region.call(daemon, "GET", "/v1/config"));
  for (const nlohmann::json& shown : config["templates"]) {
    if (shown["name"] == "counter") {
      return shown;
    }
  }
  return {};
}

/// One operator who adds 1 to the template's run time, as often as `times`
/// says, and starts from what is in force again after a conflict. Returns how
/// many conflicts there were, or -1 after any other problem.
int
addRepeatedly(Region& region, std::size_t daemon, int times)
{
  int conflicts = 0;
  for (int added = 0; added < times;) {
    const nlohmann::json shown = shownCounter(region, daemon);
    const int next = shown["declaredRunTimeMs"].get<int>() + 1;
    const HttpField ifMatch = { "If-Match", shown["revision"].dump() };
    const HttpAnswer answer = region.call(
      daemon, "PUT", counterPath, counterTemplate(next).dump(), { ifMatch });
    if (answer.status == 200) {
      ++added;
    } else if (answer.status == 409) {
      ++conflicts;
    } else {
      ADD_FAILURE() << answer.status << answer.body;
      return -1;
    }
  }
  return conflicts;
}

TEST(Config, racingOperatorsLoseNothing)
{
  constexpr int operators = 4;
  constexpr int timesEach = 5;
  constexpr int first = 1000;
  Region region;
  ASSERT_EQ(
    region.call(0, "PUT", counterPath, counterTemplate(first).dump()).status,
    200);
  region.awaitState(1, "/v1/config", [](const HttpAnswer& answer) {
    return answer.body.find("counter") != std::string::npos;
  });
  region.setPlatformFaults({ { "loseAppendAnswers", 3 } });
  std::vector<std::future<int>> conflicts;
  for (std::size_t i = 0; i < operators; ++i) {
    conflicts.push_back(std::async(std::launch::async, [&region, i] {
      return addRepeatedly(region, i % 2, timesEach);
    }));
  }
  for (auto& count : conflicts) {
    EXPECT_GE(count.get(), 0);
  }
  constexpr int last = first + operators * timesEach;
  for (const std::size_t daemon : { 0U, 1U }) {
    region.awaitState(daemon, "/v1/config", [&](const HttpAnswer&) {
      return shownCounter(region, daemon)["declaredRunTimeMs"] == last;
    });
  }
  EXPECT_EQ(region.call(0, "GET", "/v1/config").body,
            region.call(1, "GET", "/v1/config").body);
}

TEST(Config, daemonStartedAfterRetentionTakesItFromAPeer)
{
  Region region;
  region.setPlatformFaults({ { "retainRecords", 1 } });
  const HttpAnswer published =
    region.call(1, "PUT", counterPath, counterTemplate(1000).dump());
  ASSERT_EQ(published.status, 200) << published.body;
  region.addDaemon("zone-b");
  constexpr std::size_t added = 2;
  region.publishVms();
  region.awaitReady(added);
  EXPECT_EQ(region.call(added, "GET", "/v1/config").body,
            region.call(0, "GET", "/v1/config").body);
  EXPECT_EQ(region.request(added, "look-up", "{}").status, 200);
}

TEST(Config, daemonStartedAfterRetentionTakesItFromASnapshot)
{
  RegionSpec spec;
  spec.relayPeers = true;
  spec.daemonFlags = { "--config-snapshot-interval-ms", "100" };
  Region region(spec);
  const int offset =
    jsonOf(region.call(0, "GET", "/v1/config"))["offset"].get<int>();
  // All records of set-up are dropped once there is a later snapshot.
  region.awaitState(0, "/v1/config", [&](const HttpAnswer& answer) {
    return jsonOf(answer)["offset"].get<int>() > offset;
  });
  region.setPlatformFaults({ { "retainRecords", 1 } });
  region.cutDaemonsOff();
  region.addDaemon("zone-b");
  constexpr std::size_t added = 2;
  region.daemon(added).relay->silenceNewConnections();
  region.publishVms();
  region.awaitState(added, "/health", [](const HttpAnswer& answer) {
    return answer.status == 200;
  });
  const nlohmann::json config = jsonOf(region.call(added, "GET", "/v1/config"));
  EXPECT_EQ(config["templates"].size(), 2U);
  EXPECT_EQ(config["organisations"].size(), 1U);
  EXPECT_EQ(region.request(added, "look-up", "{}").status, 200);
}

} // namespace
} // namespace cowslippin::testing
