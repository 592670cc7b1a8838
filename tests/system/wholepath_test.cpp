#include "region.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace cowslippin::testing {
namespace {

/// The numbers that a job's answer echoes, in its order.
std::vector<int>
echoedNumbers(const HttpAnswer& answer)
{
  std::vector<int> numbers;
  const nlohmann::json json = jsonOf(answer);
  for (const auto& task : json["answers"]) {
    numbers.push_back(task["echo"]["number"].get<int>());
  }
  return numbers;
}

std::vector<int>
numbersBelow(int end)
{
  std::vector<int> numbers(static_cast<std::size_t>(end));
  for (int i = 0; i < end; ++i) {
    numbers[static_cast<std::size_t>(i)] = i;
  }
  return numbers;
}

TEST(WholePath, servesARepeatableRequest)
{
  Region region;
  const HttpAnswer answer = region.request(1, "look-up", R"({"bale":7})");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.header("Cowslippin-Ran"), "completed");
  EXPECT_EQ(jsonOf(answer)["echo"]["bale"], 7);
}

TEST(WholePath, answersAJobWholeAndInOrder)
{
  Region region;
  const HttpAnswer answer =
    region.submitJob(0, 100, { key("job-1"), waitForAnswer });
  ASSERT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(echoedNumbers(answer), numbersBelow(100));
  EXPECT_EQ(region.totalStarts(), 100);
}

TEST(WholePath, followsAJobFromAnyDaemon)
{
  Region region;
  for (const bool withKey : { true, false }) {
    std::vector<HttpField> headers;
    if (withKey) {
      headers.push_back(key("followed"));
    }
    const HttpAnswer accepted = region.submitJob(0, 20, headers);
    ASSERT_EQ(accepted.status, 202) << accepted.body;
    const std::string id = jsonOf(accepted)["job"];
    for (std::size_t daemon = 0; daemon < region.daemonCount(); ++daemon) {
      const HttpAnswer answer =
        region.call(daemon, "GET", "/v1/jobs/" + id + "/answer?waitMs=20000");
      ASSERT_EQ(answer.status, 200) << answer.body;
      EXPECT_EQ(echoedNumbers(answer), numbersBelow(20));
      EXPECT_EQ(answer.header("Cowslippin-Ran"), "completed");
      const HttpAnswer status = region.call(daemon, "GET", "/v1/jobs/" + id);
      EXPECT_EQ(status.header("Location"), "/v1/jobs/" + id);
      EXPECT_EQ(jsonOf(status)["state"], "complete");
    }
  }
}

TEST(WholePath, findsAJobWhoseClaimItHasNotReadYet)
{
  constexpr int rounds = 20;
  Region region;
  for (int i = 0; i < rounds; ++i) {
    // Woken up, the daemon has the claim and the question before it at once.
    region.daemon(1).process->suspend();
    const HttpAnswer accepted =
      region.submitJob(0, 1, { key("unread-" + std::to_string(i)) });
    const std::string id = jsonOf(accepted)["job"];
    auto status = std::async(std::launch::async, [&] {
      return region.call(1, "GET", "/v1/jobs/" + id);
    });
    region.daemon(1).process->signal(SIGCONT);
    const HttpAnswer got = status.get();
    EXPECT_EQ(got.status, 200) << got.body;
  }
}

TEST(WholePath, resubmissionsEverywhereStartEachTaskOnce)
{
  RegionSpec spec;
  spec.daemonsPerZone = 2;
  Region region(spec);
  const std::vector<std::string> keys = { "opaque", region.ticket(2) };
  int expectedStarts = 0;
  for (const std::string& text : keys) {
    constexpr int callers = 12;
    std::vector<std::future<HttpAnswer>> answers;
    answers.reserve(callers);
    for (int i = 0; i < callers; ++i) {
      answers.push_back(std::async(std::launch::async, [&region, &text, i] {
        const std::size_t daemon =
          static_cast<std::size_t>(i) % region.daemonCount();
        return region.submitJob(daemon, 10, { key(text), waitForAnswer });
      }));
    }
    for (auto& answer : answers) {
      const HttpAnswer got = answer.get();
      ASSERT_EQ(got.status, 200) << got.body;
      EXPECT_EQ(echoedNumbers(got), numbersBelow(10));
    }
    expectedStarts += 10;
    EXPECT_EQ(region.totalStarts(), expectedStarts);
  }
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

TEST(WholePath, cancelsAJobFromAnotherDaemon)
{
  RegionSpec spec;
  spec.runTimeMs = 200;
  Region region(spec);
  const HttpAnswer accepted = region.submitJob(0, 500, { key("cancelled") });
  const std::string id = jsonOf(accepted)["job"];
  const HttpAnswer cancelled = region.call(1, "DELETE", "/v1/jobs/" + id);
  EXPECT_EQ(cancelled.status, 200);
  EXPECT_EQ(jsonOf(cancelled)["state"], "cancelled");
  for (std::size_t daemon = 0; daemon < region.daemonCount(); ++daemon) {
    const HttpAnswer again =
      region.submitJob(daemon, 500, { key("cancelled") });
    EXPECT_EQ(again.status, 409) << again.body;
    EXPECT_EQ(jsonOf(again)["type"], "urn:cowslippin:problem:cancelled");
    EXPECT_FALSE(again.header("Cowslippin-Ran").empty());
  }
  EXPECT_LT(region.totalStarts(), 500);
}

struct BadCall
{
  std::string method;
  std::string path;
  std::string body;
  std::vector<HttpField> headers;
  int status;
  std::string type;
  std::string field;
};

TEST(WholePath, namesWhatIsWrongWithACall)
{
  Region region;
  const std::string jobs = "/v1/organisations/notaries/templates/confirm/jobs";
  const std::string requests =
    "/v1/organisations/notaries/templates/confirm/requests";
  const std::vector<BadCall> calls = {
    { "POST", jobs, "{", {}, 400, "malformed-body", "" },
    { "POST", jobs, "{}", {}, 422, "invalid-field", "tasks" },
    { "POST", jobs, R"({"tasks":[]})", {}, 422, "invalid-field", "tasks" },
    { "POST", jobs, jobBody(2001), {}, 422, "too-many-tasks", "tasks" },
    { "POST",
      jobs,
      std::string(2 << 20, ' '),
      {},
      413,
      "body-too-large",
      "body" },
    { "POST",
      "/v1/organisations/nobody/templates/confirm/jobs",
      jobBody(1),
      {},
      404,
      "unknown-organisation",
      "organisation" },
    { "POST",
      "/v1/organisations/notaries/templates/none/jobs",
      jobBody(1),
      {},
      404,
      "unknown-template",
      "template" },
    { "PUT", jobs, jobBody(1), {}, 405, "wrong-method", "" },
    { "GET", "/v1/nothing", "", {}, 404, "unknown-path", "" },
    { "GET", "/v1/jobs/1", "", {}, 404, "unknown-job", "job" },
    { "POST", requests, "{}", {}, 422, "invalid-field", "Idempotency-Key" },
    { "POST",
      requests,
      "{}",
      { key("k"), { "Deadline-Ms", "soon" } },
      422,
      "invalid-field",
      "Deadline-Ms" },
    { "POST",
      requests,
      "{}",
      { key("k"), { "Repeatable", "true" } },
      422,
      "invalid-field",
      "Repeatable" },
    { "POST",
      requests,
      "{}",
      { key("ticket:x") },
      422,
      "invalid-field",
      "Idempotency-Key" },
    { "POST", "/v1/tickets?count=0", "", {}, 422, "invalid-field", "count" },
    { "PUT",
      "/v1/config/templates/t",
      R"({"service":""})",
      {},
      422,
      "invalid-field",
      "service" },
  };
  for (const BadCall& bad : calls) {
    SCOPED_TRACE(bad.method + " " + bad.path + " " + bad.body.substr(0, 40));
    const HttpAnswer answer =
      region.call(0, bad.method, bad.path, bad.body, bad.headers);
    EXPECT_EQ(answer.status, bad.status);
    const nlohmann::json problem = jsonOf(answer);
    EXPECT_EQ(problem["type"], "urn:cowslippin:problem:" + bad.type);
    EXPECT_EQ(problem["ran"], "not run");
    EXPECT_EQ(problem.value("field", ""), bad.field);
    EXPECT_EQ(problem.contains("allowed"), !bad.field.empty());
  }
  EXPECT_EQ(region.totalStarts(), 0);
}

TEST(WholePath, refusesAKeyReusedForOtherWork)
{
  Region region;
  const HttpAnswer first =
    region.submitJob(0, 1, { key("reused"), waitForAnswer });
  EXPECT_EQ(first.status, 200);
  const HttpAnswer other = region.submitJob(0, 2, { key("reused") });
  EXPECT_EQ(other.status, 422);
  EXPECT_EQ(jsonOf(other)["type"], "urn:cowslippin:problem:key-reused");
  EXPECT_EQ(region.totalStarts(), 1);
}

} // namespace
} // namespace cowslippin::testing
