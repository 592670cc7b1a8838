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

/// A page of newest records, as the store sends it.
const std::string answer = [] {
  const std::string body =
    R"({"items":[{"key":"config","value":"eHh4eHh4eHh4eHh4","offset":0}],)"
    R"("has_more":false,"end":1})";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}();

/// A store that sends its answers in pieces, when the test says so. Times are
/// told to the follower and not waited for.
class SlowAnswer : public ::testing::Test
{
protected:
  SlowAnswer()
    : acceptor(context, { net::ip::make_address("127.0.0.1"), 0 })
  {
    accept();
    StoreFollower::Hooks hooks;
    hooks.snapshot = [this](const auto& records, std::uint64_t) {
      snapshot = records;
    };
    hooks.record = [](const auto&, const auto&) {};
    hooks.caughtUp = [](std::uint64_t) {};
    hooks.reachable = [](bool) {};
    follower = std::make_unique<StoreFollower>(
      context,
      Address("127.0.0.1", acceptor.local_endpoint().port()),
      "keyed.op",
      Duration::zero(),
      hooks);
    startedAt = steadyNow();
    follower->start();
    const TimePoint limit = steadyNow() + seconds(20);
    while (connections.empty() || connections[0]->request.size() == 0) {
      if (steadyNow() > limit)
        return;
      context.run_one_for(milliseconds(10));
    }
  }

  struct Connection
  {
    explicit Connection(net::ip::tcp::socket accepted)
      : socket(std::move(accepted))
    {
    }

    net::ip::tcp::socket socket;
    net::streambuf request;
  };

  void accept()
  {
    acceptor.async_accept([this](auto error, net::ip::tcp::socket accepted) {
      if (error)
        return;
      const auto connection = std::make_shared<Connection>(std::move(accepted));
      connections.push_back(connection);
      net::async_read_until(connection->socket,
                            connection->request,
                            "\r\n\r\n",
                            [connection](auto, std::size_t) {});
      accept();
    });
  }

  /// Sends a part of the answer over the first connection. The client has read
  /// it when this returns: it is on the same thread.
  void sendPart(std::size_t from, std::size_t bytes)
  {
    net::write(connections[0]->socket, net::buffer(answer.substr(from, bytes)));
    while (context.poll() > 0) {
    }
  }

  /// Lets time pass for the follower, and what comes of it happen.
  void passTo(Duration sinceStart)
  {
    follower->tick(startedAt + sinceStart);
    while (context.poll() > 0) {
    }
  }

  net::io_context context;
  net::ip::tcp::acceptor acceptor;
  std::vector<std::shared_ptr<Connection>> connections;
  std::optional<std::map<std::string, std::string>> snapshot;
  std::unique_ptr<StoreFollower> follower;
  TimePoint startedAt{};
};

/// The time of a read of the store ran to the end of the answer, so that one
/// which was still coming over a busy link was given up and begun again: a
/// daemon's link carried 1 to 4.5 MB a second while it noted `store-lost` and
/// never `store-reached`, for 40 s.
TEST_F(SlowAnswer, IsWaitedForAsLongAsItKeepsComing)
{
  const std::size_t part = answer.size() / 20 + 1;
  Duration passed = Duration::zero();
  for (std::size_t sent = 0; sent < answer.size(); sent += part) {
    EXPECT_FALSE(snapshot);
    sendPart(sent, part);
    passed += milliseconds(300);
    passTo(passed);
  }
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->at("config"), "xxxxxxxxxxxx");
}

/// All daemons that start together read the configuration at once. While an
/// answer is coming, a second read of the same takes its share of the link.
TEST_F(SlowAnswer, IsNotAskedForAgainWhileItComes)
{
  for (std::size_t sent = 0; sent < 10; ++sent) {
    sendPart(sent, 1);
    passTo(milliseconds(100 * (sent + 1)));
  }
  EXPECT_EQ(connections.size(), 1u);
}

TEST_F(SlowAnswer, IsGivenUpWhenItStopsComing)
{
  sendPart(0, answer.size() / 2);
  passTo(milliseconds(100));
  EXPECT_EQ(connections.size(), 1u);
  passTo(milliseconds(900));
  EXPECT_GE(connections.size(), 2u);
}

TEST_F(SlowAnswer, IsGivenUpInTheEnd)
{
  Duration passed = Duration::zero();
  for (std::size_t sent = 0; sent < 100 && connections.size() < 2; ++sent) {
    sendPart(sent, 1);
    passed += milliseconds(500);
    passTo(passed);
  }
  EXPECT_GE(connections.size(), 2u);
}

} // namespace
} // namespace cowslippin::testing
