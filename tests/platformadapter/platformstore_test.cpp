#include "platform/daemonentries.h"
#include "platform/platformstore.h"
#include "platform/storerecord.h"

#include "libentry/fencingtokengenerator.h"
#include "support/logcapture.h"
#include "support/oddvalues.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace cowslippin::testing {
namespace {

using namespace platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t maxPageRecords = 500;

std::string
base64(const std::string& bytes)
{
  namespace codec = boost::beast::detail::base64;
  std::string text(codec::encoded_size(bytes.size()), '\0');
  text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string
worker(const std::string& address)
{
  return R"({"backend":"booking","zone":"z1","state":"ready","address":")" +
         address + R"(","capacity":{"cpu":16000,"mem_mb":32768},"seq":1})";
}

/// A store with records of three topics, and its client, on one thread.
class PlatformStoreTest : public ::testing::Test
{
protected:
  using Transaction = std::shared_ptr<HttpTransaction>;

  PlatformStoreTest()
    : server(
        context,
        AsyncHttpServer::Settings(),
        [this](const HttpRequest& request, const Transaction& transaction) {
          serve(request, transaction);
        })
  {
    boost::asio::ip::tcp::acceptor probe(
      context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    address = Address("127.0.0.1", probe.local_endpoint().port());
    probe.close();
    EXPECT_EQ(server.listen(address), std::nullopt);
  }

  void restart()
  {
    members.clear();
    holders.clear();
    workers.clear();
    highest.reset();
    PlatformStore::Hooks hooks;
    hooks.onConfiguration = [this](const std::string& body) {
      configuration = body;
    };
    hooks.onEvacuations = [](const EvacuatedZones&) {};
    hooks.onWorkers = [this](const WorkerList& list) { workers = list; };
    hooks.isDirectoryReader = [] { return true; };
    hooks.relayWorkerChanges = [](const PeerWorkerChanges&) {};
    hooks.onMember = [this](const Address& member) { members.insert(member); };
    hooks.onHolderRenewed = [](const ShardId&, const VmId&) {};
    hooks.onLastHolder = [this](const ShardId& shard, const VmId& vm) {
      holders[shard] = vm;
    };
    hooks.isPlausibleToken = [this](FencingToken token) {
      return tokens.isPlausible(token);
    };
    hooks.onHoldersRead = [this](FencingToken token) { highest = token; };
    store = std::make_unique<PlatformStore>(
      context, address, VmId("vm-1"), Address("10.0.0.1", 7720), hooks);
    store->setFrequentDaemonReads(true);
    store->start();
  }

  void serve(const HttpRequest& request, const Transaction& transaction)
  {
    const std::string topic = *request.queryParameter("topic");
    if (request.path() == "/v1/log-newest")
      transaction->answer(
        page(topic, request.queryParameter("after").value_or("")));
    else if (request.path() == "/v1/log-append")
      transaction->answer(HttpReply::json(200, "{}"));
    else
      waitingReads[topic] = transaction;
  }

  HttpReply page(const std::string& topic, const std::string& after)
  {
    const auto& records = topics[topic];
    std::string items;
    std::size_t count = 0;
    auto record = records.upper_bound(after);
    for (; record != records.end() && count < maxPageRecords; ++record, ++count)
      items += (count > 0 ? ",{\"key\":\"" : "{\"key\":\"") + record->first +
               R"(","value":")" + base64(record->second) + R"(","offset":0})";
    return HttpReply::json(200,
                           R"({"items":[)" + items + R"(],"has_more":)" +
                             (record != records.end() ? "true" : "false") +
                             R"(,"end":7})");
  }

  /// Sends appended records to the reader of a topic, in one response.
  void append(const std::string& topic, const std::vector<StoreRecord>& records)
  {
    await([&] { return waitingReads[topic] != nullptr; });
    HttpReply::Fields reply;
    reply.body = std::string(16, '\0');
    for (const StoreRecord& record : records)
      reply.body += encodeStoreRecord(record);
    std::exchange(waitingReads[topic], nullptr)->answer(HttpReply(reply));
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      context.run_one_for(milliseconds(10));
      context.restart();
      store->tick(steadyNow());
    }
  }

  boost::asio::io_context context;
  AsyncHttpServer server;
  Address address;
  std::map<std::string, std::map<std::string, std::string>> topics;
  std::map<std::string, Transaction> waitingReads;
  std::unique_ptr<PlatformStore> store;
  std::string configuration;
  WorkerList workers;
  std::set<Address> members;
  std::map<ShardId, VmId> holders;
  FencingTokenGenerator tokens{ [] { return 1800000000000; }, 7 };
  std::optional<FencingToken> highest;
};

/// Guards against daemons that don't find each other or the holders of shards
/// any more, as more odd entries than are read at a time come first, and
/// against a log that these fill.
TEST_F(PlatformStoreTest, ManyOddEntriesHideNoOthers)
{
  const LogCapture log;
  const ShardId shard(ZoneName("z1"), 0, 1);
  auto& entries = topics["keyed.cowslippin"];
  for (int i = 0; i < 12'000; ++i)
    entries["holder/odd-" + std::to_string(i)] = "{}";
  entries["holder/z1/0of1"] = encodeHolder({ VmId("vm-2"), shard, 99, 1 });
  entries["member/10.0.0.2:7720"] =
    encodeMember({ VmId("vm-2"), Address("10.0.0.2", 7720) });
  restart();
  await([&] { return highest.has_value() && !members.empty(); });
  EXPECT_EQ(*highest, 99u);
  EXPECT_EQ(holders[shard], VmId("vm-2"));
  EXPECT_EQ(members, std::set<Address>{ Address("10.0.0.2", 7720) });
  for (int read = 0; read < 2; ++read) {
    highest.reset();
    await([&] { return highest.has_value(); });
  }
  EXPECT_EQ(log.of("own-entry-refused").size(), 12'000u);
}

/// Guards against tokens that all other daemons refuse for good, because one
/// entry of another writer has the highest token that is read.
TEST_F(PlatformStoreTest, AnOddTokenDoesNotRaiseTokensOutOfTheirRange)
{
  std::vector<std::string> oddTokens = { "9007199254740992",
                                         "9007199254740991",
                                         "4503599627370497",
                                         "4503599627370496" };
  for (const OddValue& value : largeNumbers())
    oddTokens.push_back(value.text);
  const ShardId shard(ZoneName("z1"), 0, 1);
  for (const std::string& token : oddTokens) {
    topics["keyed.cowslippin"] = {
      { "holder/odd",
        R"({"vm":"odd","zone":"z9","index":0,"count":1,"beat":1,"token":)" +
          token + "}" },
      { "holder/z1/0of1", encodeHolder({ VmId("vm-2"), shard, 99, 1 }) }
    };
    restart();
    await([&] { return highest.has_value(); });
    EXPECT_EQ(*highest, 99u) << token;
    EXPECT_EQ(holders[shard], VmId("vm-2"));
    FencingTokenGenerator generator = tokens;
    generator.observe(*highest);
    FencingToken next = 0;
    for (unsigned refusals = 0; refusals < 1000; ++refusals)
      next = generator.nextAfterRefusal(refusals);
    EXPECT_TRUE(decodeHolder(encodeHolder({ VmId("vm-1"), shard, next, 1 })))
      << token;
  }
}

/// Guards against a list that isn't followed any more because of an odd entry
/// among those that are read at the same time, before or afterwards.
TEST_F(PlatformStoreTest, ListsAreFollowedBesideOddEntries)
{
  std::vector<std::string> odd;
  for (const OddValue& value : unreadableValues())
    odd.push_back("{\"address\":" + value.text + "}");
  for (const std::string& port : oddPorts())
    odd.push_back(worker("10.0.0.9:" + port));
  for (const std::string& host : oddHosts())
    odd.push_back(worker(host + ":8080"));
  for (std::size_t i = 0; i < odd.size(); ++i) {
    const std::string name = "odd-" + std::to_string(i);
    for (const char* topic : { "keyed.servers", "keyed.op" })
      topics[topic][name] = odd[i];
    topics["keyed.cowslippin"]["member/" + name] = odd[i];
    topics["keyed.cowslippin"]["holder/" + name] = odd[i];
  }
  topics["keyed.servers"]["a"] = worker("10.0.0.2:8080");
  topics["keyed.servers"]["z"] = worker("10.0.0.3:8080");
  topics["keyed.op"]["config"] = "first";
  const LogCapture log;
  for (int start = 0; start < 2; ++start) {
    restart();
    await([&] { return workers.size() == 2 && highest.has_value(); });
    EXPECT_EQ(configuration, "first");
    std::vector<StoreRecord> records = { { "a", std::nullopt } };
    for (std::size_t i = 0; i < odd.size(); ++i)
      records.push_back({ "odd-" + std::to_string(i), odd[i] });
    append("keyed.op", records);
    append("keyed.servers", records);
    append("keyed.op", { records[1], { "config", "second" } });
    records[0] = { "b", worker("10.0.0.4:8080") };
    records.push_back({ "c", worker("10.0.0.5:8080") });
    append("keyed.servers", records);
    await([&] { return workers.size() == 3 && configuration == "second"; });
    append("keyed.servers", { { "b", odd[0] } });
    await([&] { return workers.size() == 2; });
    EXPECT_EQ(workers.count(WorkerId("z")), 1u);
    EXPECT_EQ(workers.count(WorkerId("c")), 1u);
    EXPECT_TRUE(members.empty());
    EXPECT_TRUE(holders.empty());
    waitingReads.clear();
  }
  // Each is logged once a start, and the one that replaces an entry as well.
  EXPECT_EQ(log.of("worker-entry-refused").size() +
              log.of("store-record-refused").size(),
            2 * (odd.size() + 1));
}

} // namespace
} // namespace cowslippin::testing
