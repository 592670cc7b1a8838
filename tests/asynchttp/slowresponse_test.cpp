#include "platform/topicreader.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using namespace platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The store's response with a page of newest records.
const std::string response = [] {
  const std::string body =
    R"({"items":[{"key":"config","value":"eHh4eHh4eHh4eHh4","offset":0}],)"
    R"("has_more":false,"end":1})";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}();

/// A store that sends its response in parts as the test calls for them. The
/// reader's clock is advanced by the test, without waiting.
class SlowResponse : public ::testing::Test
{
protected:
  SlowResponse()
    : acceptor(context, { net::ip::make_address("127.0.0.1"), 0 })
  {
    accept();
    TopicReader::Hooks hooks;
    hooks.onSnapshot = [this](const auto& records, std::uint64_t) {
      snapshot = records;
    };
    hooks.onRecord = [](const auto&, const auto&) {};
    hooks.onBatchRead = [](std::uint64_t) {};
    hooks.onReachableChanged = [](bool) {};
    topicReader = std::make_unique<TopicReader>(
      context,
      Address("127.0.0.1", acceptor.local_endpoint().port()),
      "keyed.op",
      Duration::zero(),
      hooks);
    startedAt = steadyNow();
    topicReader->start();
    const TimePoint limit = steadyNow() + seconds(20);
    while (connections.empty() || connections[0]->request.size() == 0) {
      if (steadyNow() > limit)
        return;
      context.run_one_for(milliseconds(10));
    }
  }

  struct Connection
  {
    explicit Connection(net::ip::tcp::socket acceptedSocket)
      : socket(std::move(acceptedSocket))
    {
    }

    net::ip::tcp::socket socket;
    net::streambuf request;
  };

  void accept()
  {
    acceptor.async_accept(
      [this](auto error, net::ip::tcp::socket acceptedSocket) {
        if (error)
          return;
        const auto connection =
          std::make_shared<Connection>(std::move(acceptedSocket));
        connections.push_back(connection);
        net::async_read_until(connection->socket,
                              connection->request,
                              "\r\n\r\n",
                              [connection](auto, std::size_t) {});
        accept();
      });
  }

  /// Sends a part of the response over the first connection. The reader, which
  /// is on the same thread, has received it when this returns.
  void sendPart(std::size_t from, std::size_t bytes)
  {
    net::write(connections[0]->socket,
               net::buffer(response.substr(from, bytes)));
    while (context.poll() > 0) {
    }
  }

  /// Advances the reader's clock and runs what is due by then.
  void advanceTo(Duration sinceStart)
  {
    topicReader->tick(startedAt + sinceStart);
    while (context.poll() > 0) {
    }
  }

  net::io_context context;
  net::ip::tcp::acceptor acceptor;
  std::vector<std::shared_ptr<Connection>> connections;
  std::optional<std::map<std::string, std::string>> snapshot;
  std::unique_ptr<TopicReader> topicReader;
  TimePoint startedAt{};
};

/// Guards against a timeout that applies to the whole response: a response that
/// was still being received over a busy link was aborted and requested again. A
/// daemon's link carried 1 to 4.5 MB a second for 40 s, while the daemon logged
/// `store-lost` and never `store-reached`.
TEST_F(SlowResponse, IsReceivedAsLongAsItDoesNotPause)
{
  const std::size_t part = response.size() / 20 + 1;
  Duration passed = Duration::zero();
  for (std::size_t sent = 0; sent < response.size(); sent += part) {
    EXPECT_FALSE(snapshot);
    sendPart(sent, part);
    passed += milliseconds(300);
    advanceTo(passed);
  }
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->at("config"), "xxxxxxxxxxxx");
}

/// Daemons that start together read the configuration at the same time. A
/// second read while a response is being received takes a share of the link
/// from it.
TEST_F(SlowResponse, IsNotRequestedAgainWhileItIsReceived)
{
  for (std::size_t sent = 0; sent < 10; ++sent) {
    sendPart(sent, 1);
    advanceTo(milliseconds(100 * (sent + 1)));
  }
  EXPECT_EQ(connections.size(), 1u);
}

TEST_F(SlowResponse, TimesOutWhenItPauses)
{
  sendPart(0, response.size() / 2);
  advanceTo(milliseconds(100));
  EXPECT_EQ(connections.size(), 1u);
  advanceTo(milliseconds(900));
  // The call ends after a turn of the event loop, and the next one is sent at
  // the next tick.
  advanceTo(milliseconds(920));
  EXPECT_GE(connections.size(), 2u);
}

TEST_F(SlowResponse, TimesOutAfterTheMaximumExtension)
{
  Duration passed = Duration::zero();
  for (std::size_t sent = 0; sent < 100 && connections.size() < 2; ++sent) {
    sendPart(sent, 1);
    passed += milliseconds(500);
    advanceTo(passed);
  }
  EXPECT_GE(connections.size(), 2u);
}

} // namespace
} // namespace cowslippin::testing
