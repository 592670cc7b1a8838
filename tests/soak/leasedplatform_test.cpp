#include "freeports.h"
#include "leasedplatform.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>

namespace cowslippin::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// A platform with one worker, that orders are sent to.
class LeasedPlatformTest : public ::testing::Test
{
protected:
  static LeasedPlatform::Settings settingsOf(bool reportsBirths)
  {
    LeasedPlatform::Settings settings;
    settings.zones = 1;
    settings.workersPerZone = 1;
    settings.storePort = freePortRange(2);
    settings.firstWorkerPort =
      static_cast<std::uint16_t>(settings.storePort + 1);
    settings.reportsBirths = reportsBirths;
    settings.describeStart = [](FencingToken, const RunKey&) {
      return std::string(" of sender");
    };
    return settings;
  }

  using SharedResult = std::shared_ptr<std::optional<HttpCallResult>>;

  /// The result is there once the call has ended.
  SharedResult send(LeasedPlatform& platform,
                    const std::string& path,
                    const json& body,
                    const std::string& worker)
  {
    HttpCallRequest request;
    request.method = "POST";
    request.target = path;
    request.headers.emplace_back("X-Cowslippin-Target-Instance", worker);
    request.contentType = "application/json";
    request.body = body.dump();
    const auto connection = std::make_shared<AsyncHttpConnection>(
      context, platform.workerAddress(0), "worker");
    SharedResult result = std::make_shared<std::optional<HttpCallResult>>();
    connection->call(
      request,
      steadyNow() + std::chrono::seconds(20),
      [connection, result](const HttpCallResult& end) { *result = end; });
    return result;
  }

  /// The answer's status and body.
  std::pair<int, std::string> call(LeasedPlatform& platform,
                                   const std::string& path,
                                   const json& body,
                                   const std::string& worker)
  {
    const SharedResult result = send(platform, path, body, worker);
    while (!*result)
      context.run_for(milliseconds(2));
    return { (*result)->status, (*result)->body };
  }

  static json startOf(const std::string& task, unsigned run)
  {
    return { { "fencing_token", 7 },
             { "task", task },
             { "run", run },
             { "spec", "200,9000" },
             { "deadline_ms", 100000 } };
  }

  int start(LeasedPlatform& platform, const std::string& task, unsigned run)
  {
    return call(platform, "/v1/run-start", startOf(task, run), "w1").first;
  }

  boost::asio::io_context context;
};

TEST_F(LeasedPlatformTest, TracesTheRunsBehindAViolation)
{
  LeasedPlatform platform(context, settingsOf(true), 1);
  EXPECT_EQ(start(platform, "job1.0.0.0", 1), 200);
  EXPECT_EQ(start(platform, "job2.0.0.0", 4), 200);
  context.run_for(milliseconds(400));
  ASSERT_EQ(platform.violations(),
            std::vector<std::string>{ "over capacity: w1" });
  const std::vector<std::string> lines = platform.traces();
  const auto run =
    std::find_if(lines.begin(), lines.end(), [](const std::string& line) {
      return line.find("run job2.0.0.0 4 on w1, token 7 of sender, late false, "
                       "start 1") != std::string::npos;
    });
  ASSERT_NE(run, lines.end());
  EXPECT_NE(run->find("stop -"), std::string::npos);
  EXPECT_NE(run->find(" done"), std::string::npos);
  const auto isOrder = [](const std::string& line) {
    return line.find("/v1/run-start") != std::string::npos;
  };
  EXPECT_EQ(std::count_if(lines.begin(), lines.end(), isOrder), 2);
}

TEST_F(LeasedPlatformTest, CountsTwoRunsOfATaskOnOneWorker)
{
  LeasedPlatform platform(context, settingsOf(true), 1);
  EXPECT_EQ(start(platform, "job1.0.0.0", 1), 200);
  EXPECT_EQ(start(platform, "job1.0.0.0", 2), 200);
  EXPECT_EQ(platform.doubleRuns(), 1u);
}

/// Guards against a check that sees only the starts that are carried out.
TEST_F(LeasedPlatformTest, TellsStartsThatAreTriedWithoutLimit)
{
  LeasedPlatform platform(context, settingsOf(true), 1);
  platform.submitted("job1");
  EXPECT_EQ(
    call(platform, "/v1/run-start", startOf("job1.0.0.0", 1000), "w0").first,
    421);
  ASSERT_EQ(platform.violations().size(), 1u);
  const std::string what = "too many starts of job1.0.0.0: run number 1000";
  EXPECT_EQ(platform.violations()[0].rfind(what, 0), 0u);
  EXPECT_EQ(platform.doubleRuns(), 0u);
  EXPECT_FALSE(platform.traces().empty());
}

TEST_F(LeasedPlatformTest, TellsNoBirthAndANewIdAfterACrashIfAsked)
{
  LeasedPlatform platform(context, settingsOf(false), 1);
  const json order{ { "fencing_token", 7 }, { "ack_cursor", 0 } };
  const auto [status, report] = call(platform, "/v1/hold", order, "w1");
  EXPECT_EQ(status, 200);
  EXPECT_FALSE(json::parse(report).contains("born"));
  platform.restartWorker(0);
  EXPECT_EQ(call(platform, "/v1/hold", order, "w1").first, 421);
  EXPECT_EQ(call(platform, "/v1/hold", order, "w2").first, 200);
}

TEST_F(LeasedPlatformTest, ListsAndAnswersAnAcceptedStartLater)
{
  LeasedPlatform::Settings settings = settingsOf(true);
  settings.maxListingDelay = std::chrono::seconds(1);
  LeasedPlatform platform(context, settings, 1);
  const SharedResult started =
    send(platform, "/v1/run-start", startOf("job1.0.0.0", 1), "w1");
  context.run_for(milliseconds(50));
  EXPECT_FALSE(started->has_value());
  EXPECT_FALSE(platform.isBusy(0));
  while (!*started)
    context.run_for(milliseconds(2));
  EXPECT_EQ((*started)->status, 200);
  EXPECT_TRUE(platform.isBusy(0));
}

TEST_F(LeasedPlatformTest, RefusesAnAcceptedStartThatIsStoppedBeforeItsRun)
{
  LeasedPlatform::Settings settings = settingsOf(true);
  settings.maxListingDelay = std::chrono::seconds(1);
  LeasedPlatform platform(context, settings, 1);
  const SharedResult started =
    send(platform, "/v1/run-start", startOf("job1.0.0.0", 1), "w1");
  context.run_for(milliseconds(50));
  EXPECT_FALSE(started->has_value());
  const json stop{ { "fencing_token", 7 },
                   { "task", "job1.0.0.0" },
                   { "run", 1 } };
  EXPECT_EQ(call(platform, "/v1/run-stop", stop, "w1").first, 200);
  while (!*started)
    context.run_for(milliseconds(2));
  EXPECT_EQ((*started)->status, 409);
  EXPECT_EQ(json::parse((*started)->body).at("reason"), "old");
  EXPECT_EQ(platform.starts(), 0u);
}

TEST_F(LeasedPlatformTest, TellsItsBirthByDefault)
{
  LeasedPlatform platform(context, settingsOf(true), 1);
  const json order{ { "fencing_token", 7 }, { "ack_cursor", 0 } };
  platform.restartWorker(0);
  const auto [status, report] = call(platform, "/v1/hold", order, "w1");
  EXPECT_EQ(status, 200);
  EXPECT_TRUE(json::parse(report).contains("born"));
}

} // namespace
} // namespace cowslippin::testing
