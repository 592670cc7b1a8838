#include "region.h"

#include <gtest/gtest.h>

#include <future>

namespace cowslippin::testing {
namespace {

bool
isProblem(const HttpAnswer& answer, const std::string& slug)
{
  return problemType(answer) == "urn:cowslippin:problem:" + slug;
}

/// A refusal that is worth trying again and started nothing.
void
expectNotRun(const HttpAnswer& answer, const std::string& slug)
{
  EXPECT_TRUE(isProblem(answer, slug)) << answer.status << answer.body;
  EXPECT_EQ(jsonOf(answer)["ran"], "not run");
  EXPECT_FALSE(answer.header("Retry-After").empty());
}

TEST(Cut, zoneWithoutThePlatformServesWhatNeedsNoClaim)
{
  Region region;
  constexpr std::size_t cut = 1;
  constexpr std::size_t other = 0;
  const std::string before = region.ticket(cut);
  region.setPlatformFaults({ { "cutZones", { "zone-b" } } });
  region.awaitState(cut, "/v1/metrics", [&](const HttpAnswer&) {
    return isProblem(region.request(cut, "confirm", "{}", { key("probe") }),
                     "platform-unavailable");
  });
  const int startsBefore = region.totalStarts();
  EXPECT_EQ(region.request(cut, "look-up", "{}").status, 200);
  // Tickets of both sides, used on both sides.
  const std::vector<std::string> tickets = { before,
                                             region.ticket(cut),
                                             region.ticket(other) };
  for (const std::string& ticket : tickets) {
    const HttpAnswer first =
      region.request(cut, "confirm", "{}", { key(ticket) });
    EXPECT_EQ(first.status, 200) << first.body;
    const HttpAnswer again =
      region.request(other, "confirm", "{}", { key(ticket) });
    EXPECT_EQ(again.body, first.body);
  }
  expectNotRun(region.request(cut, "confirm", "{}", { key("opaque") }),
               "platform-unavailable");
  EXPECT_EQ(region.totalStarts(), startsBefore + 4);
  EXPECT_EQ(region.request(other, "confirm", "{}", { key("there") }).status,
            200);
  region.setPlatformFaults({ { "cutZones", nlohmann::json::array() } });
  region.awaitState(cut, "/v1/metrics", [&](const HttpAnswer&) {
    return region.request(cut, "confirm", "{}", { key("opaque") }).status ==
           200;
  });
  for (const std::string text : { "opaque", "there", "probe" }) {
    for (const std::size_t daemon : { cut, other }) {
      const HttpAnswer answer =
        region.request(daemon, "confirm", "{}", { key(text) });
      EXPECT_EQ(answer.status, 200) << text << answer.body;
    }
  }
  EXPECT_EQ(region.totalStarts(), startsBefore + 7);
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

TEST(Cut, zonesApartServeNewWorkAndKeepTheirConfiguration)
{
  constexpr int tasks = 40;
  RegionSpec spec;
  spec.runTimeMs = 400;
  spec.relayPeers = true;
  spec.daemonFlags = {
    "--heartbeat-interval-ms", "100", "--peer-silence-ms", "500"
  };
  Region region(spec);
  ASSERT_EQ(region.submitJob(0, tasks, { key("attached") }).status, 202);
  region.awaitStarts(1);
  auto attached = std::async(std::launch::async, [&] {
    return region.submitJob(1, tasks, { key("attached"), waitForAnswer });
  });
  region.awaitState(1, "/v1/dump", [](const HttpAnswer& answer) {
    return jsonOf(answer)["submissions"]["pendingOwnerCalls"] == 1;
  });
  region.cutDaemonsOff();
  const HttpAnswer lost = attached.get();
  EXPECT_TRUE(isProblem(lost, "peer-unreachable")) << lost.body;
  EXPECT_EQ(jsonOf(lost)["ran"], "may have run");
  EXPECT_FALSE(lost.header("Retry-After").empty());
  // Each side serves new keys through the log.
  for (const std::size_t daemon : { 0U, 1U }) {
    const std::string text = "new-" + std::to_string(daemon);
    const HttpAnswer answer =
      region.submitJob(daemon, 2, { key(text), waitForAnswer });
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
  // And what one side publishes is in force on both.
  const nlohmann::json added = { { "service", "booking" },
                                 { "path", "/run" },
                                 { "repeatable", true } };
  const HttpAnswer published =
    region.call(1, "PUT", "/v1/config/templates/added", added.dump());
  ASSERT_EQ(published.status, 200) << published.body;
  const auto hasAdded = [](const HttpAnswer& answer) {
    return answer.body.find("added") != std::string::npos;
  };
  for (const std::size_t daemon : { 0U, 1U }) {
    region.awaitState(daemon, "/v1/config", hasAdded);
    EXPECT_EQ(region.request(daemon, "added", "{}").status, 200);
  }
  const std::string inForce = region.call(0, "GET", "/v1/config").body;
  region.joinDaemons();
  region.awaitReady(0);
  region.awaitReady(1);
  const HttpAnswer answer =
    region.submitJob(1, tasks, { key("attached"), waitForAnswer });
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(jsonOf(answer)["answers"].size(), tasks);
  for (const std::size_t daemon : { 0U, 1U }) {
    EXPECT_EQ(region.call(daemon, "GET", "/v1/config").body, inForce);
  }
  EXPECT_EQ(region.totalStarts(), tasks + 6);
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

} // namespace
} // namespace cowslippin::testing
