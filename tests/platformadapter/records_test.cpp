#include "platform/platformsettings.h"
#include "platform/storerecord.h"
#include "platform/wirerecords.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cowslippin::testing {
namespace {

using namespace platform;

constexpr const char* settingsText = R"({
  "node_name": "edge-1", "zone": "z1", "ip": "10.1.0.13",
  "internal_ports": [7720, 7735], "new_field": {"a": [1]},
  "seeds": ["10.2.0.30:8166"],
  "listen_addrs": {"frontend": "10.1.0.13:8161", "readiness": "10.1.0.13:8167"},
  "platform": {"address": "10.200.1.7:8169", "form": "log"},
  "bounds": {"grace_s": 4.5}})";

TEST(PlatformSettings, ReadsWhatItNeedsAndIgnoresTheRest)
{
  const auto settings = readPlatformSettings(settingsText);
  ASSERT_TRUE(settings) << settings.error().detail();
  EXPECT_EQ(settings->daemon.core.vm, VmId("edge-1"));
  EXPECT_EQ(settings->daemon.core.zone, ZoneName("z1"));
  EXPECT_EQ(settings->daemon.core.grace, std::chrono::milliseconds(4500));
  EXPECT_EQ(settings->daemon.peerAddress, Address("10.1.0.13", 7720));
  EXPECT_EQ(settings->daemon.seeds,
            std::vector<Address>{ Address("10.2.0.30", 7720) });
  EXPECT_EQ(settings->callers, Address("10.1.0.13", 8161));
  EXPECT_EQ(settings->readiness, Address("10.1.0.13", 8167));
  EXPECT_EQ(settings->store, Address("10.200.1.7", 8169));
}

/// A settings text with one thing wrong, and the field that must be named.
struct WrongSetting
{
  const char* name;
  const char* from;
  const char* to;
  const char* field;
};

class WrongSettings : public ::testing::TestWithParam<WrongSetting>
{};

TEST_P(WrongSettings, AreRefusedNamingTheField)
{
  std::string text = settingsText;
  const std::string from = GetParam().from;
  text.replace(text.find(from), from.size(), GetParam().to);
  const auto settings = readPlatformSettings(text);
  ASSERT_FALSE(settings);
  EXPECT_NE(settings.error().detail().find(GetParam().field), std::string::npos)
    << settings.error().detail();
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  WrongSettings,
  ::testing::Values(
    WrongSetting{ "Name", "\"node_name\"", "\"other\"", "node_name" },
    WrongSetting{ "Zone", "\"z1\"", "7", "zone" },
    WrongSetting{ "Ports", "[7720, 7735]", "[]", "internal_ports" },
    WrongSetting{ "Port", "[7720, 7735]", "[99999]", "internal_ports" },
    WrongSetting{ "Callers", "10.1.0.13:8161", "nowhere", "frontend" },
    WrongSetting{ "Store", "10.200.1.7:8169", "", "platform.address" },
    WrongSetting{ "Grace", "4.5", "-1", "grace_s" },
    WrongSetting{ "Whole", "{\n", "[", "settings file" }),
  [](const auto& info) { return std::string(info.param.name); });

TEST(Configuration, IsDecodedIntoRoutes)
{
  const auto table = decodeConfiguration(
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",
    "path_prefix":"/x/","type":"unsafe","timeout_ms":1500,
    "target_duration_ms":60,"priority":2,"backend":"booking",
    "max_attempts":3,"stretch":1.6},
    {"name":"r2","host":"a.example","path_prefix":"/x/y/",
    "backend":"booking","advice":{"decision_ms":3}}],"backends":[]})");
  ASSERT_TRUE(table) << table.error().detail();
  EXPECT_EQ(table->version(), 7u);
  const Route* route = table->find("a.example", "/x/0123");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->policy.queue, "r1");
  EXPECT_EQ(route->policy.service, ServiceName("booking"));
  EXPECT_EQ(route->policy.priority, 2);
  EXPECT_EQ(route->policy.maxAttempts, 3u);
  EXPECT_EQ(route->policy.target, std::chrono::milliseconds(60));
  EXPECT_EQ(table->find("a.example", "/x/y/0123")->policy.queue, "r2");
  EXPECT_FALSE(table->find("a.example", "/x/y/0123")->unsupported.empty());
  EXPECT_EQ(table->find("b.example", "/x/0123"), nullptr);
  EXPECT_EQ(table->find("a.example", "/z/"), nullptr);
}

TEST(Configuration, ThatIsWrongIsAProblem)
{
  EXPECT_FALSE(decodeConfiguration("{"));
  EXPECT_FALSE(decodeConfiguration(R"({"version":1})"));
  EXPECT_FALSE(decodeConfiguration(R"({"version":1,"routes":[{}]})"));
}

TEST(WorkerEntry, IsDecoded)
{
  const auto worker = decodeWorker(
    "i-1",
    R"({"backend":"booking","address":"10.128.0.9:8080","zone":"z1",
    "version":"v1","slots":8,"state":"draining","cold_remaining_ms":0,
    "capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-3"],"seq":4})");
  ASSERT_TRUE(worker) << worker.error().detail();
  EXPECT_EQ(worker->id(), WorkerId("i-1"));
  EXPECT_EQ(worker->capacity(), Resources(16000, 32768, 0));
  EXPECT_TRUE(worker->isDraining());
  EXPECT_FALSE(decodeWorker("i-1", "{}"));
}

Route
route()
{
  Route route;
  route.policy.queue = "r1";
  return route;
}

TEST(Job, IsDecoded)
{
  const auto job =
    decodeJob("0123456789abcdef",
              route(),
              R"({"spec":"text","best_effort":true,"steps":[{"count":4,
    "cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3",
    "max_per_server":1}]})");
  ASSERT_TRUE(job) << job.error().detail();
  EXPECT_EQ(job->taskCount, 4u);
  EXPECT_EQ(job->taskPrefix, "0123456789abcdef.0.0.");
  EXPECT_EQ(job->needs.resources, Resources(500, 256, 0));
  EXPECT_EQ(job->needs.estimate, std::chrono::milliseconds(900));
  EXPECT_EQ(job->needs.preferredRack, "r1-3");
  EXPECT_EQ(job->needs.maxPerWorker, 1u);
}

class UnservedJob : public ::testing::TestWithParam<const char*>
{};

TEST_P(UnservedJob, IsATrueRefusal)
{
  const auto job = decodeJob("1", route(), GetParam());
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().kind(), ProblemKind::CanNeverRun);
  EXPECT_EQ(job.error().ran(), RunState::NotRun);
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  UnservedJob,
  ::testing::Values(
    R"({"spec":"","steps":[{"count":1}]})",
    R"({"spec":"","best_effort":true,"steps":[{"count":1},{"count":1}]})",
    R"({"spec":"","best_effort":true,"steps":[{"count":2,"gang":true}]})",
    R"({"spec":"","best_effort":true,"repeat_count":2,"steps":[{"count":1}]})",
    R"({"spec":"","best_effort":true,"steps":[{"long_running":true}]})",
    R"({"spec":"","best_effort":true,"steps":[{"fills":true}]})"));

TEST(Job, ThatIsWrongIsAProblemOfItsField)
{
  const auto job = decodeJob("1", route(), R"({"best_effort":true})");
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().kind(), ProblemKind::InvalidField);
}

TEST(StoreRecord, GoesThroughItsBytes)
{
  const std::string prefix(16, '\0');
  const auto records =
    parseStoreRecords(prefix + renderStoreRecord({ "key", "value" }) +
                      renderStoreRecord({ "dropped", std::nullopt }));
  ASSERT_TRUE(records);
  ASSERT_EQ(records->size(), 2u);
  EXPECT_EQ((*records)[0].key, "key");
  EXPECT_EQ((*records)[0].value, "value");
  EXPECT_EQ((*records)[1].key, "dropped");
  EXPECT_EQ((*records)[1].value, std::nullopt);
}

TEST(StoreRecord, CutAnywhereIsNoneOrFewer)
{
  const std::string whole =
    std::string(16, '\0') + renderStoreRecord({ "key", "value" });
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const auto records = parseStoreRecords(whole.substr(0, length));
    EXPECT_TRUE(!records || records->empty()) << length;
  }
}

TEST(StoreRecord, AnyBytesAreRead)
{
  EXPECT_TRUE(
    rc::check([](const std::string& bytes) { parseStoreRecords(bytes); }));
}

TEST(Base64, IsDecoded)
{
  EXPECT_EQ(decodeBase64(""), "");
  EXPECT_EQ(decodeBase64("YQ=="), "a");
  EXPECT_EQ(decodeBase64("YWI="), "ab");
  EXPECT_EQ(decodeBase64("YWJj"), "abc");
  EXPECT_EQ(decodeBase64("eyJhIjoxfQ=="), "{\"a\":1}");
}

} // namespace
} // namespace cowslippin::testing
