#include "platform/storerecord.h"
#include "platform/topicreader.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include <deque>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using namespace platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that sends the responses in `script`, one for each request. For an
/// empty one, and after the last, it sends none.
class TopicReaderTest : public ::testing::Test
{
protected:
  TopicReaderTest()
    : server(context,
             AsyncHttpServer::Settings(),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpTransaction>& transaction) {
               serve(request, transaction);
             })
  {
    net::ip::tcp::acceptor probe(context,
                                 { net::ip::make_address("127.0.0.1"), 0 });
    const Address address("127.0.0.1", probe.local_endpoint().port());
    probe.close();
    EXPECT_EQ(server.listen(address), std::nullopt);
    TopicReader::Hooks hooks;
    hooks.onSnapshot = [this](const auto& records, std::uint64_t end) {
      snapshots.push_back(records);
      ends.push_back(end);
    };
    hooks.onRecord = [this](const auto& key, const auto& value) {
      records.emplace_back(key, value);
    };
    hooks.onBatchRead = [this](std::uint64_t end) { ends.push_back(end); };
    hooks.onReachableChanged = [this](bool is) { reachable.push_back(is); };
    topicReader = std::make_unique<TopicReader>(
      context, address, "keyed.op", Duration::zero(), hooks);
  }

  void serve(const HttpRequest& request,
             const std::shared_ptr<HttpTransaction>& transaction)
  {
    requests.push_back(request.path() + '?' + request.query());
    transactions.push_back(transaction);
    if (script.empty())
      return;
    const std::optional<HttpReply> reply = script.front();
    script.pop_front();
    if (reply)
      transaction->answer(*reply);
  }

  static std::string base64(const std::string& bytes)
  {
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
  }

  static HttpReply snapshotPage(const std::string& key,
                                const std::string& value,
                                int end,
                                bool hasMore = false)
  {
    return HttpReply::json(200,
                           R"({"items":[{"key":")" + key + R"(","value":")" +
                             base64(value) + R"(","offset":0}],"has_more":)" +
                             (hasMore ? "true" : "false") + R"(,"end":)" +
                             std::to_string(end) + "}");
  }

  static HttpReply appendedRecords(const std::string& records)
  {
    HttpReply::Fields reply;
    reply.body = std::string(16, '\0') + records;
    return HttpReply(reply);
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      context.run_one_for(milliseconds(10));
      context.restart();
      topicReader->tick(steadyNow());
    }
  }

  net::io_context context;
  AsyncHttpServer server;
  std::deque<std::optional<HttpReply>> script;
  std::vector<std::string> requests;
  std::vector<std::shared_ptr<HttpTransaction>> transactions;
  std::vector<std::map<std::string, std::string>> snapshots;
  std::vector<std::pair<std::string, std::optional<std::string>>> records;
  /// The end offset after each response.
  std::vector<std::uint64_t> ends;
  std::vector<bool> reachable;
  std::unique_ptr<TopicReader> topicReader;
};

TEST_F(TopicReaderTest, ReadsAllPagesAndContinuesAtTheFirstPagesEnd)
{
  script = { snapshotPage("a", "1", 7, true),
             snapshotPage("b", "2", 9),
             appendedRecords(encodeStoreRecord({ "c", "3" }) +
                             encodeStoreRecord({ "a", std::nullopt })) };
  topicReader->start();
  await([&] { return requests.size() >= 4; });
  ASSERT_EQ(snapshots.size(), 1u);
  EXPECT_EQ(snapshots[0],
            (std::map<std::string, std::string>{ { "a", "1" }, { "b", "2" } }));
  EXPECT_NE(requests[1].find("after=a"), std::string::npos);
  EXPECT_NE(requests[2].find("from=7"), std::string::npos);
  EXPECT_NE(requests[3].find("from=9"), std::string::npos);
  ASSERT_EQ(records.size(), 2u);
  EXPECT_EQ(records[0].second, "3");
  EXPECT_EQ(records[1].second, std::nullopt);
  EXPECT_EQ(ends, (std::vector<std::uint64_t>{ 7, 9 }));
}

TEST_F(TopicReaderTest, RecordsRelayedByAPeerAreNotReadAgain)
{
  script = { snapshotPage("a", "1", 7, false), std::nullopt };
  topicReader->start();
  await([&] { return requests.size() >= 2; });
  topicReader->skipTo(8);
  transactions.back()->answer(appendedRecords(encodeStoreRecord({ "a", "2" })));
  await([&] { return requests.size() >= 3; });
  EXPECT_TRUE(records.empty())
    << "the response is older than what the peer has relayed";
  EXPECT_NE(requests[2].find("from=8"), std::string::npos);
}

TEST_F(TopicReaderTest, ReadsNothingWhilePaused)
{
  script = { snapshotPage("a", "1", 7, false),
             appendedRecords(encodeStoreRecord({ "a", "2" })) };
  topicReader->setPaused(true);
  topicReader->start();
  await([&] { return ends.size() >= 2; });
  for (int i = 0; i < 5; ++i)
    topicReader->tick(steadyNow() + seconds(10));
  EXPECT_EQ(requests.size(), 2u);
  topicReader->setPaused(false);
  await([&] { return requests.size() >= 3; });
  EXPECT_NE(requests[2].find("from=8"), std::string::npos);
}

/// A first response with which the read fails; the reader must read again.
struct FailedResponse
{
  const char* name;
  std::optional<HttpReply> reply;
};

class FailedFirstResponse
  : public TopicReaderTest
  , public ::testing::WithParamInterface<FailedResponse>
{};

TEST_P(FailedFirstResponse, IsReadAgain)
{
  script = { GetParam().reply, snapshotPage("a", "1", 1) };
  topicReader->start();
  await([&] { return !snapshots.empty(); });
  EXPECT_EQ(snapshots[0].at("a"), "1");
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  FailedFirstResponse,
  ::testing::Values(FailedResponse{ "Unavailable", HttpReply::json(503, "{}") },
                    FailedResponse{ "TooMany", HttpReply::json(429, "{}") },
                    FailedResponse{ "NotJson", HttpReply::json(200, "{") },
                    FailedResponse{ "WithoutItems",
                                    HttpReply::json(200, R"({"end":1})") },
                    FailedResponse{ "Silence", std::nullopt }),
  [](const auto& info) { return std::string(info.param.name); });

TEST_F(TopicReaderTest, ReadsANewSnapshotWhenTheStoreHasDroppedRecords)
{
  script = { snapshotPage("a", "1", 1),
             HttpReply::json(410, R"({"first":9})"),
             snapshotPage("a", "2", 9) };
  topicReader->start();
  await([&] { return snapshots.size() == 2; });
  EXPECT_EQ(snapshots[1].at("a"), "2");
}

TEST_F(TopicReaderTest, ABrokenConnectionIsReplacedAndReadingContinues)
{
  script = { snapshotPage("a", "1", 1),
             std::nullopt,
             appendedRecords(encodeStoreRecord({ "a", "2" })) };
  topicReader->start();
  await([&] { return !records.empty(); });
  EXPECT_EQ(records[0].second, "2");
  EXPECT_EQ(reachable, (std::vector<bool>{ true, false, true }));
}

TEST_F(TopicReaderTest, AnUnansweredFirstReadIsFollowedByAParallelOne)
{
  int disconnects = 0;
  script = { std::nullopt, snapshotPage("a", "1", 1) };
  topicReader->start();
  await([&] { return transactions.size() == 1; });
  transactions[0]->onClientDisconnected([&] { ++disconnects; });
  await([&] { return !snapshots.empty(); });
  EXPECT_EQ(disconnects, 0) << "the first call is still in progress";
  transactions[0]->answer(snapshotPage("a", "0", 0));
  await([&] { return requests.size() >= 3; });
  EXPECT_EQ(snapshots.size(), 1u) << "the later response is ignored";
  EXPECT_NE(requests[2].find("from=1"), std::string::npos);
}

TEST_F(TopicReaderTest, TruncatedRecordsAreReadAgain)
{
  const std::string whole = encodeStoreRecord({ "a", "2" });
  script = { snapshotPage("a", "1", 1),
             appendedRecords(whole.substr(0, whole.size() - 1)),
             appendedRecords(whole) };
  topicReader->start();
  await([&] { return !records.empty(); });
  EXPECT_EQ(records[0].second, "2");
}

} // namespace
} // namespace cowslippin::testing
