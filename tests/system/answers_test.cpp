#include "region.h"

#include <gtest/gtest.h>

#include <future>

namespace cowslippin::testing {
namespace {

/// A job's body with this many tasks that all name `owner`.
std::string
namedJob(const std::string& owner, int tasks)
{
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < tasks; ++i) {
    list.push_back({ { "owner", owner }, { "number", i } });
  }
  return nlohmann::json{ { "tasks", list } }.dump();
}

void
expectWholeAnswer(const HttpAnswer& answer, const std::string& owner, int tasks)
{
  ASSERT_EQ(answer.status, 200) << answer.body;
  const nlohmann::json answers = jsonOf(answer)["answers"];
  ASSERT_EQ(answers.size(), static_cast<std::size_t>(tasks));
  for (int i = 0; i < tasks; ++i) {
    const nlohmann::json& echo = answers[static_cast<std::size_t>(i)]["echo"];
    EXPECT_EQ(echo["owner"], owner);
    EXPECT_EQ(echo["number"], i);
  }
}

struct BadAnswer
{
  std::string name;
  std::string mode;
  std::string type;
  std::string ran;
};

class JobWithABadAnswer : public ::testing::TestWithParam<BadAnswer>
{};

TEST_P(JobWithABadAnswer, failsAsAWhole)
{
  constexpr int tasks = 400;
  constexpr int timeoutMs = 500;
  RegionSpec spec;
  spec.zones = { "zone-a" };
  Region region(spec);
  const nlohmann::json jobTemplate = { { "service", "booking" },
                                       { "path", "/run" },
                                       { "repeatable", false },
                                       { "taskTimeoutMs", timeoutMs } };
  ASSERT_EQ(
    region.call(0, "PUT", "/v1/config/templates/strict", jobTemplate.dump())
      .status,
    200);
  region.setEndpointFaults(0,
                           { { "mode", GetParam().mode },
                             { "times", 1 },
                             { "overlongBytes", 20000000 } });
  const std::string jobs = "/v1/organisations/notaries/templates/strict/jobs";
  const HttpAnswer answer =
    region.call(0, "POST", jobs, jobBody(tasks), { key("bad"), waitForAnswer });
  const nlohmann::json problem = jsonOf(answer);
  EXPECT_EQ(answer.status, 502) << answer.body;
  EXPECT_EQ(problem["type"], problemUrn(GetParam().type));
  EXPECT_EQ(problem["ran"], GetParam().ran);
  EXPECT_FALSE(problem.contains("answers"));
  const int startsAtEnd = region.totalStarts();
  EXPECT_LT(startsAtEnd, tasks);
  // The remaining tasks are dropped, so the next request finds free slots.
  EXPECT_EQ(region.request(0, "look-up", "{}").status, 200);
  region.awaitState(0, "/v1/dump", [](const HttpAnswer& dump) {
    const nlohmann::json dispatch = jsonOf(dump)["dispatch"];
    return dispatch["queued"] == 0 && dispatch["inFlight"] == 0;
  });
  const int started = region.totalStarts();
  EXPECT_LT(started, tasks);
  const std::string id = answer.header("Cowslippin-Job");
  const HttpAnswer again =
    region.call(0, "POST", jobs, jobBody(tasks), { key("bad"), waitForAnswer });
  EXPECT_EQ(again.body, answer.body);
  const HttpAnswer later = region.call(0, "GET", "/v1/jobs/" + id + "/answer");
  EXPECT_EQ(later.body, answer.body);
  EXPECT_EQ(region.totalStarts(), started);
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  JobWithABadAnswer,
  ::testing::Values(
    BadAnswer{ "Failed", "fail", "endpoint-failed", "failed" },
    BadAnswer{ "Missing", "close", "outcome-unknown", "may have run" },
    BadAnswer{ "Truncated", "truncate", "outcome-unknown", "may have run" },
    BadAnswer{ "Overlong", "overlong", "outcome-unknown", "may have run" },
    BadAnswer{ "Late", "hang", "outcome-unknown", "may have run" }),
  [](const auto& info) { return info.param.name; });

TEST(Answers, callerThatWentAwayGetsTheWholeAnswerLater)
{
  constexpr int tasks = 40;
  constexpr Duration shortStay = std::chrono::milliseconds(300);
  RegionSpec spec;
  spec.runTimeMs = 300;
  Region region(spec);
  const std::string jobs = "/v1/organisations/notaries/templates/confirm/jobs";
  // Each of these callers closes its connection before its answer.
  for (const std::size_t daemon : { 0U, 1U }) {
    const HttpAnswer gone = httpCall(region.daemon(daemon).http,
                                     "POST",
                                     jobs,
                                     namedJob("clerk", tasks),
                                     { key("gone"), waitForAnswer },
                                     shortStay);
    ASSERT_EQ(gone.status, 0) << gone.body;
  }
  const HttpAnswer accepted =
    region.call(1, "POST", jobs, namedJob("clerk", tasks), { key("gone") });
  const std::string id = jsonOf(accepted)["job"];
  for (const std::size_t daemon : { 1U, 0U }) {
    expectWholeAnswer(
      region.call(daemon, "GET", "/v1/jobs/" + id + "/answer?waitMs=20000"),
      "clerk",
      tasks);
  }
  EXPECT_EQ(region.totalStarts(), tasks);
}

TEST(Answers, eachCallerGetsItsOwn)
{
  constexpr int callers = 8;
  constexpr int tasks = 30;
  RegionSpec spec;
  spec.runTimeMs = 5;
  Region region(spec);
  // Endpoints that differ in speed bring the answers out of order.
  region.setEndpointFaults(0, { { "slowFactor", 6.0 } });
  std::vector<std::future<HttpAnswer>> answers;
  answers.reserve(callers);
  for (int i = 0; i < callers; ++i) {
    answers.push_back(std::async(std::launch::async, [&region, i] {
      const std::string owner = "owner-" + std::to_string(i);
      return region.call(static_cast<std::size_t>(i % 2),
                         "POST",
                         "/v1/organisations/notaries/templates/confirm/jobs",
                         namedJob(owner, tasks),
                         { key(owner), waitForAnswer });
    }));
  }
  for (int i = 0; i < callers; ++i) {
    expectWholeAnswer(answers[static_cast<std::size_t>(i)].get(),
                      "owner-" + std::to_string(i),
                      tasks);
  }
  EXPECT_EQ(region.totalStarts(), callers * tasks);
}

struct SilentCase
{
  std::string name;
  std::string templateName;
  int status;
  int starts;
};

class SilentConnection : public ::testing::TestWithParam<SilentCase>
{};

TEST_P(SilentConnection, boundsTheWaitAndIsNotHeldAgainstTheEndpoint)
{
  RegionSpec spec;
  spec.zones = { "zone-a" };
  spec.relayEndpoints = true;
  spec.runTimeMs = 300;
  Region region(spec);
  nlohmann::json jobTemplate = { { "service", "booking" },
                                 { "path", "/run" },
                                 { "repeatable",
                                   GetParam().templateName == "look-up" },
                                 { "declaredRunTimeMs", 300 },
                                 { "taskTimeoutMs", 3000 } };
  ASSERT_EQ(
    region.call(0, "PUT", "/v1/config/templates/bounded", jobTemplate.dump())
      .status,
    200);
  auto waiting = std::async(std::launch::async, [&] {
    return region.request(0, "bounded", "{}", { key("silent") });
  });
  region.awaitStarts(1);
  region.endpoint(0).relay->silenceOpenConnections();
  // New connections work meanwhile.
  EXPECT_EQ(region.request(0, "look-up", "{}").status, 200);
  const HttpAnswer answer = waiting.get();
  EXPECT_EQ(answer.status, GetParam().status) << answer.body;
  if (answer.status != 200) {
    EXPECT_EQ(jsonOf(answer)["type"], problemUrn("outcome-unknown"));
    EXPECT_EQ(jsonOf(answer)["ran"], "may have run");
  }
  const nlohmann::json dump = jsonOf(region.call(0, "GET", "/v1/dump"));
  EXPECT_EQ(dump["dispatch"]["endpoints"][0]["ejected"], false);
  EXPECT_EQ(region.totalStarts(), 1 + GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  SilentConnection,
  ::testing::Values(SilentCase{ "Repeatable", "look-up", 200, 2 },
                    SilentCase{ "NotRepeatable", "confirm", 502, 1 }),
  [](const auto& info) { return info.param.name; });

TEST(Answers, manySilentConnectionsAreNotHeldAgainstTheEndpoint)
{
  constexpr int slots = 8;
  RegionSpec spec;
  spec.zones = { "zone-a" };
  spec.endpointsPerZone = 2;
  spec.relayEndpoints = true;
  spec.slots = slots;
  spec.runTimeMs = 300;
  Region region(spec);
  const nlohmann::json jobTemplate = { { "service", "booking" },
                                       { "path", "/run" },
                                       { "repeatable", true },
                                       { "declaredRunTimeMs", 300 },
                                       { "taskTimeoutMs", 3000 } };
  ASSERT_EQ(
    region.call(0, "PUT", "/v1/config/templates/bounded", jobTemplate.dump())
      .status,
    200);
  std::vector<std::future<HttpAnswer>> waiting;
  waiting.reserve(std::size_t{ 2 } * slots);
  for (int i = 0; i < 2 * slots; ++i) {
    waiting.push_back(std::async(
      std::launch::async, [&] { return region.request(0, "bounded", "{}"); }));
  }
  region.awaitStarts(2 * slots);
  region.endpoint(0).relay->silenceOpenConnections();
  // Each is retried, and nothing is held against the endpoint meanwhile.
  bool wasEjected = false;
  region.awaitState(0, "/v1/dump", [&](const HttpAnswer& answer) {
    const nlohmann::json dispatch = jsonOf(answer)["dispatch"];
    for (const nlohmann::json& endpoint : dispatch["endpoints"]) {
      wasEjected = wasEjected || endpoint["ejected"].get<bool>();
    }
    return dispatch["queued"] == 0 && dispatch["inFlight"] == 0;
  });
  EXPECT_FALSE(wasEjected);
  for (auto& answer : waiting) {
    EXPECT_EQ(answer.get().status, 200);
  }
}

} // namespace
} // namespace cowslippin::testing
