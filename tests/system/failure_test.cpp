#include "region.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace cowslippin::testing {
namespace {

constexpr int slowTaskMs = 400;

RegionSpec
slowSpec()
{
  RegionSpec spec;
  spec.runTimeMs = slowTaskMs;
  return spec;
}

TEST(Failure, killedOwnerIsReportedAndNothingStartsAgain)
{
  Region region(slowSpec());
  const HttpAnswer accepted = region.submitJob(0, 40, { key("killed") });
  ASSERT_EQ(accepted.status, 202) << accepted.body;
  region.awaitStarts(1);
  region.daemon(0).process->signal(SIGKILL);
  region.daemon(0).process->wait();
  region.unlistDaemon(0);
  region.awaitState(1, "/v1/vms", [](const HttpAnswer& answer) {
    return jsonOf(answer)["vms"].size() == 1;
  });
  const int startsBefore = region.totalStarts();
  const HttpAnswer again =
    region.submitJob(1, 40, { key("killed"), waitForAnswer });
  EXPECT_EQ(problemType(again), problemUrn("owner-gone"));
  EXPECT_EQ(jsonOf(again)["ran"], "may have run");
  EXPECT_EQ(region.totalStarts(), startsBefore);
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

TEST(Failure, restartedOwnerDoesNotStartAgain)
{
  Region region(slowSpec());
  ASSERT_EQ(region.submitJob(0, 40, { key("restarted") }).status, 202);
  region.awaitStarts(1);
  region.daemon(0).process->signal(SIGKILL);
  region.daemon(0).process->wait();
  region.restartDaemon(0);
  region.awaitReady(0);
  region.awaitReady(1);
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    const HttpAnswer again =
      region.submitJob(daemon, 40, { key("restarted"), waitForAnswer });
    EXPECT_EQ(problemType(again), problemUrn("owner-gone")) << again.body;
    EXPECT_EQ(jsonOf(again)["ran"], "may have run");
  }
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

TEST(Failure, frozenOwnerIsNotReplacedAndAnswersAfterwards)
{
  Region region(slowSpec());
  ASSERT_EQ(region.submitJob(0, 40, { key("frozen") }).status, 202);
  region.awaitStarts(1);
  region.daemon(0).process->suspend();
  const HttpAnswer meanwhile =
    region.submitJob(1, 40, { key("frozen"), waitForAnswer });
  EXPECT_EQ(problemType(meanwhile), problemUrn("peer-unreachable"))
    << meanwhile.body;
  EXPECT_EQ(jsonOf(meanwhile)["ran"], "may have run");
  EXPECT_FALSE(meanwhile.header("Retry-After").empty());
  region.daemon(0).process->signal(SIGCONT);
  region.awaitReady(1);
  const HttpAnswer answer =
    region.submitJob(1, 40, { key("frozen"), waitForAnswer });
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(jsonOf(answer)["answers"].size(), 40U);
  EXPECT_EQ(region.totalStarts(), 40);
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

TEST(Failure, deadlinesEndWellWithinTheClaimWindow)
{
  RegionSpec spec;
  spec.daemonFlags = { "--claim-window", "10" };
  Region region(spec);
  const HttpAnswer tooLate =
    region.request(0, "confirm", "{}", { key("k"), { "Deadline-Ms", "5001" } });
  EXPECT_EQ(problemType(tooLate), problemUrn("invalid-field"));
  EXPECT_EQ(jsonOf(tooLate)["field"], "Deadline-Ms");
  const HttpAnswer inTime =
    region.request(0, "confirm", "{}", { key("k"), { "Deadline-Ms", "5000" } });
  EXPECT_EQ(inTime.status, 200) << inTime.body;
}

TEST(Failure, claimsDoNotWaitForAFrozenAppender)
{
  RegionSpec spec;
  spec.zones = { "zone-a", "zone-b", "zone-c" };
  Region region(spec);
  // The lowest VM appends for the region; it freezes, and nobody knows yet.
  region.daemon(0).process->suspend();
  const HttpAnswer answer =
    region.submitJob(2, 5, { key("handed-over"), waitForAnswer });
  EXPECT_EQ(answer.status, 200) << answer.body;
  region.daemon(0).process->signal(SIGCONT);
  const HttpAnswer again =
    region.submitJob(0, 5, { key("handed-over"), waitForAnswer });
  EXPECT_EQ(again.body, answer.body);
  EXPECT_EQ(region.totalStarts(), 5);
}

TEST(Failure, lostAcknowledgementsAreSettledByReading)
{
  Region region;
  for (const int landLateMs : { 0, 300 }) {
    region.setPlatformFaults(
      { { "loseAppendAnswers", 1 }, { "landLateMs", landLateMs } });
    const std::string text = "lost-" + std::to_string(landLateMs);
    const HttpAnswer answer =
      region.submitJob(0, 5, { key(text), waitForAnswer });
    EXPECT_EQ(answer.status, 200) << answer.body;
    const HttpAnswer again =
      region.submitJob(1, 5, { key(text), waitForAnswer });
    EXPECT_EQ(again.body, answer.body);
  }
  EXPECT_EQ(region.totalStarts(), 10);
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

struct OutageCase
{
  std::string name;
  std::string templateName;
  bool withTicket;
  bool isServed;
};

TEST(Failure, platformOutageServesWhatNeedsNoClaim)
{
  Region region;
  const std::string ticket = region.ticket(1);
  region.setPlatformFaults({ { "down", true } });
  region.awaitState(0, "/v1/metrics", [&](const HttpAnswer&) {
    const HttpAnswer probe =
      region.request(0, "confirm", "{}", { key("probe") });
    return problemType(probe) == problemUrn("platform-unavailable");
  });
  const int startsBefore = region.totalStarts();
  EXPECT_EQ(region.request(0, "look-up", "{}").status, 200);
  EXPECT_EQ(region.request(0, "confirm", "{}", { key(ticket) }).status, 200);
  EXPECT_EQ(region.request(1, "confirm", "{}", { key(ticket) }).status, 200);
  const HttpAnswer refused =
    region.request(0, "confirm", "{}", { key("opaque") });
  EXPECT_EQ(problemType(refused), problemUrn("platform-unavailable"));
  EXPECT_EQ(jsonOf(refused)["ran"], "not run");
  EXPECT_FALSE(refused.header("Retry-After").empty());
  EXPECT_EQ(region.totalStarts(), startsBefore + 2);
  region.setPlatformFaults({ { "down", false } });
  region.awaitState(0, "/v1/metrics", [&](const HttpAnswer&) {
    return region.request(0, "confirm", "{}", { key("opaque") }).status == 200;
  });
  EXPECT_EQ(region.mostStartsOfOneTask(), 1);
}

TEST(Failure, notRunIsTrueOfTheKeyWhereTheLogCannotBeRead)
{
  Region region;
  region.setPlatformFaults({ { "cutVms", { "vm-2" } } });
  ASSERT_EQ(region.request(0, "confirm", "{}", { key("ran") }).status, 200);
  const HttpAnswer ran = region.request(1, "confirm", "{}", { key("ran") });
  EXPECT_EQ(problemType(ran), problemUrn("platform-unavailable"));
  EXPECT_EQ(jsonOf(ran)["ran"], "may have run");
  EXPECT_FALSE(ran.header("Retry-After").empty());
  const HttpAnswer fresh = region.request(1, "confirm", "{}", { key("new") });
  EXPECT_EQ(problemType(fresh), problemUrn("platform-unavailable"));
  EXPECT_EQ(jsonOf(fresh)["ran"], "not run");
  region.daemon(0).process->suspend();
  const HttpAnswer doubtful =
    region.request(1, "confirm", "{}", { key("other") });
  EXPECT_EQ(problemType(doubtful), problemUrn("platform-unavailable"));
  EXPECT_EQ(jsonOf(doubtful)["ran"], "may have run");
  region.daemon(0).process->signal(SIGCONT);
  EXPECT_EQ(region.totalStarts(), 1);
}

TEST(Failure, shutdownCutsOffNothing)
{
  Region region(slowSpec());
  auto waiting = std::async(std::launch::async, [&] {
    return region.submitJob(0, 30, { key("drained"), waitForAnswer });
  });
  region.awaitStarts(1);
  region.daemon(0).process->signal(SIGTERM);
  region.awaitState(0, "/health", [](const HttpAnswer& answer) {
    return answer.status == 503;
  });
  const HttpAnswer refused = region.request(0, "look-up", "{}");
  EXPECT_EQ(problemType(refused), problemUrn("draining"));
  EXPECT_EQ(jsonOf(refused)["ran"], "not run");
  const HttpAnswer attached =
    region.submitJob(1, 30, { key("drained"), waitForAnswer });
  const HttpAnswer answer = waiting.get();
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(attached.body, answer.body);
  const ExitStatus exit = region.daemon(0).process->wait();
  EXPECT_EQ(exit.code, 0);
  EXPECT_EQ(region.totalStarts(), 30);
}

struct EndpointFaultCase
{
  std::string mode;
  std::string templateName;
  int status;
  std::string type;
  std::string ran;
  int starts;
};

TEST(Failure, endpointFaultsAreToldTruthfully)
{
  RegionSpec spec;
  spec.zones = { "zone-a" };
  Region region(spec);
  const std::vector<EndpointFaultCase> cases = {
    { "fail", "confirm", 502, "endpoint-failed", "failed", 1 },
    { "close", "confirm", 502, "outcome-unknown", "may have run", 1 },
    { "truncate", "confirm", 502, "outcome-unknown", "may have run", 1 },
    { "overlong", "confirm", 502, "outcome-unknown", "may have run", 1 },
    { "fail", "look-up", 200, "", "", 2 },
    { "close", "look-up", 200, "", "", 2 },
    { "refuse", "confirm", 200, "", "", 1 },
  };
  int number = 0;
  for (const EndpointFaultCase& fault : cases) {
    SCOPED_TRACE(fault.mode + " " + fault.templateName);
    region.setEndpointFaults(0,
                             { { "mode", fault.mode },
                               { "times", 1 },
                               { "overlongBytes", 20000000 } });
    const int before = region.totalStarts();
    const HttpAnswer answer =
      region.request(0,
                     fault.templateName,
                     "{}",
                     { key("fault-" + std::to_string(++number)) });
    EXPECT_EQ(answer.status, fault.status) << answer.body;
    if (!fault.type.empty()) {
      EXPECT_EQ(problemType(answer), problemUrn(fault.type));
      EXPECT_EQ(jsonOf(answer)["ran"], fault.ran);
    }
    EXPECT_EQ(region.totalStarts() - before, fault.starts);
  }
}

TEST(Failure, racingOperatorsGetAConflict)
{
  Region region;
  std::vector<std::future<HttpAnswer>> puts;
  for (std::size_t i = 0; i < 6; ++i) {
    puts.push_back(std::async(std::launch::async, [&region, i] {
      return region.call(i % 2,
                         "PUT",
                         "/v1/config/organisations/mills",
                         nlohmann::json{ { "urgency", i } }.dump());
    }));
  }
  int accepted = 0;
  for (auto& put : puts) {
    const HttpAnswer answer = put.get();
    accepted += answer.status == 200 ? 1 : 0;
    if (answer.status != 200) {
      EXPECT_EQ(problemType(answer), problemUrn("revision-conflict"));
    }
  }
  EXPECT_EQ(accepted, 1);
}

TEST(Failure, replacedDaemonTakesConfigurationFromAPeerInAnOutage)
{
  Region region;
  region.setPlatformFaults({ { "down", true } });
  region.daemon(1).process->signal(SIGKILL);
  region.daemon(1).process->wait();
  const std::string before = region.call(0, "GET", "/v1/config").body;
  // Its VM keeps its addresses, which the others still have from the list.
  const std::string http = region.daemon(1).http.toString();
  const std::string peer = region.daemon(1).peer.toString();
  DaemonProcess& daemon = region.daemon(1);
  daemon.process = std::make_unique<ChildProcess>(std::vector<std::string>{
    DAEMON_PROGRAM,
    "--vm-id",
    daemon.vm,
    "--zone",
    daemon.zone,
    "--platform",
    region.platform().toString(),
    "--http-listen",
    http,
    "--peer-listen",
    peer,
  });
  daemon.process->waitForLine("listening ");
  region.awaitState(1, "/v1/config", [&](const HttpAnswer& answer) {
    return answer.body == before;
  });
}

} // namespace
} // namespace cowslippin::testing
