#include "platform/topicreader.h"
#include "platform/storerecord.h"

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

/// A store whose answers the test scripts; null stands for none at all.
class StoreFollowerTest : public ::testing::Test
{
protected:
  StoreFollowerTest()
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
    StoreFollower::Hooks hooks;
    hooks.snapshot = [this](const auto& records, std::uint64_t end) {
      snapshots.push_back(records);
      ends.push_back(end);
    };
    hooks.record = [this](const auto& key, const auto& value) {
      records.emplace_back(key, value);
    };
    hooks.caughtUp = [this](std::uint64_t end) { ends.push_back(end); };
    hooks.reachable = [this](bool is) { reachable.push_back(is); };
    follower = std::make_unique<StoreFollower>(
      context, address, "keyed.op", Duration::zero(), hooks);
  }

  void serve(const HttpRequest& request,
             const std::shared_ptr<HttpTransaction>& transaction)
  {
    requests.push_back(request.path() + '?' + request.query());
    held.push_back(transaction);
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

  static HttpReply newest(const std::string& key,
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

  static HttpReply read(const std::string& records)
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
      follower->tick(steadyNow());
    }
  }

  net::io_context context;
  AsyncHttpServer server;
  std::deque<std::optional<HttpReply>> script;
  std::vector<std::string> requests;
  std::vector<std::shared_ptr<HttpTransaction>> held;
  std::vector<std::map<std::string, std::string>> snapshots;
  std::vector<std::pair<std::string, std::optional<std::string>>> records;
  /// How far was read, as told after each answer.
  std::vector<std::uint64_t> ends;
  std::vector<bool> reachable;
  std::unique_ptr<StoreFollower> follower;
};

TEST_F(StoreFollowerTest, ReadsAllPagesAndGoesOnFromTheFirstPagesEnd)
{
  script = { newest("a", "1", 7, true),
             newest("b", "2", 9),
             read(renderStoreRecord({ "c", "3" }) +
                  renderStoreRecord({ "a", std::nullopt })) };
  follower->start();
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

TEST_F(StoreFollowerTest, WhatAnotherHasToldIsNotReadAgain)
{
  script = { newest("a", "1", 7, false), std::nullopt };
  follower->start();
  await([&] { return requests.size() >= 2; });
  follower->skipTo(8);
  held.back()->answer(read(renderStoreRecord({ "a", "2" })));
  await([&] { return requests.size() >= 3; });
  EXPECT_TRUE(records.empty()) << "the answer is older than what was told";
  EXPECT_NE(requests[2].find("from=8"), std::string::npos);
}

TEST_F(StoreFollowerTest, ReadsNothingWhileAnotherReadsInItsPlace)
{
  script = { newest("a", "1", 7, false),
             read(renderStoreRecord({ "a", "2" })) };
  follower->setPaused(true);
  follower->start();
  await([&] { return ends.size() >= 2; });
  for (int i = 0; i < 5; ++i)
    follower->tick(steadyNow() + seconds(10));
  EXPECT_EQ(requests.size(), 2u);
  follower->setPaused(false);
  await([&] { return requests.size() >= 3; });
  EXPECT_NE(requests[2].find("from=8"), std::string::npos);
}

/// A first answer that is no good, after which the follower must read again.
struct BadAnswer
{
  const char* name;
  std::optional<HttpReply> reply;
};

class BadFirstAnswer
  : public StoreFollowerTest
  , public ::testing::WithParamInterface<BadAnswer>
{};

TEST_P(BadFirstAnswer, IsReadAgain)
{
  script = { GetParam().reply, newest("a", "1", 1) };
  follower->start();
  await([&] { return !snapshots.empty(); });
  EXPECT_EQ(snapshots[0].at("a"), "1");
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  BadFirstAnswer,
  ::testing::Values(BadAnswer{ "Unavailable", HttpReply::json(503, "{}") },
                    BadAnswer{ "TooMany", HttpReply::json(429, "{}") },
                    BadAnswer{ "NotJson", HttpReply::json(200, "{") },
                    BadAnswer{ "WithoutItems",
                               HttpReply::json(200, R"({"end":1})") },
                    BadAnswer{ "Silence", std::nullopt }),
  [](const auto& info) { return std::string(info.param.name); });

TEST_F(StoreFollowerTest, ReadsAllAgainWhenTheStoreHasDroppedWhatItMissed)
{
  script = { newest("a", "1", 1),
             HttpReply::json(410, R"({"first":9})"),
             newest("a", "2", 9) };
  follower->start();
  await([&] { return snapshots.size() == 2; });
  EXPECT_EQ(snapshots[1].at("a"), "2");
}

TEST_F(StoreFollowerTest, ASilentConnectionIsReplacedAndReadingGoesOn)
{
  script = { newest("a", "1", 1),
             std::nullopt,
             read(renderStoreRecord({ "a", "2" })) };
  follower->start();
  await([&] { return !records.empty(); });
  EXPECT_EQ(records[0].second, "2");
  EXPECT_EQ(reachable, (std::vector<bool>{ true, false, true }));
}

TEST_F(StoreFollowerTest, ASilentFirstReadGetsAnotherBesideIt)
{
  int gone = 0;
  script = { std::nullopt, newest("a", "1", 1) };
  follower->start();
  await([&] { return held.size() == 1; });
  held[0]->onClientGone([&] { ++gone; });
  await([&] { return !snapshots.empty(); });
  EXPECT_EQ(gone, 0) << "the first is waited for as well";
  held[0]->answer(newest("a", "0", 0));
  await([&] { return requests.size() >= 3; });
  EXPECT_EQ(snapshots.size(), 1u) << "what comes after the first is not heeded";
  EXPECT_NE(requests[2].find("from=1"), std::string::npos);
}

TEST_F(StoreFollowerTest, RecordsThatAreCutShortAreReadAgain)
{
  const std::string whole = renderStoreRecord({ "a", "2" });
  script = { newest("a", "1", 1),
             read(whole.substr(0, whole.size() - 1)),
             read(whole) };
  follower->start();
  await([&] { return !records.empty(); });
  EXPECT_EQ(records[0].second, "2");
}

} // namespace
} // namespace cowslippin::testing
