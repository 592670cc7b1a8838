#include "libasynchttp/asynchttp.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Beyond what the system buffers on both sides.
constexpr std::size_t longAnswerBytes = std::size_t(32) << 20;

/// A server whose clients have little time until a header is whole and an
/// answer is read, and much more for a body; and a client, on one thread.
class SlowClient : public ::testing::Test
{
protected:
  SlowClient()
    : server(context,
             settings(),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpTransaction>& transaction) {
               ++requests;
               transaction->answer(HttpReply::json(
                 200,
                 request.path() == "/long" ? std::string(longAnswerBytes, 'x')
                                           : "{}"));
             })
    , client(context)
  {
    net::ip::tcp::acceptor probe(context,
                                 { net::ip::make_address("127.0.0.1"), 0 });
    const auto endpoint = probe.local_endpoint();
    probe.close();
    EXPECT_EQ(server.listen(Address("127.0.0.1", endpoint.port())),
              std::nullopt);
    client.connect(endpoint);
    await([this] { return server.connectionCount() == 1; });
  }

  static AsyncHttpServer::Settings settings()
  {
    AsyncHttpServer::Settings settings;
    settings.clientTimeout = milliseconds(50);
    settings.requestTimeout = [](const HttpRequest& request) -> Duration {
      return milliseconds(std::stoi(request.header("Wait").value_or("0")));
    };
    return settings;
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      context.run_one_for(milliseconds(10));
      context.restart();
    }
  }

  void send(const std::string& bytes)
  {
    net::write(client, net::buffer(bytes));
  }

  /// Long enough for the server to look for slow clients.
  void waitLong()
  {
    const TimePoint end = steadyNow() + milliseconds(2500);
    await([&] { return steadyNow() > end; });
  }

  net::io_context context;
  AsyncHttpServer server;
  net::ip::tcp::socket client;
  int requests = 0;
};

/// Guards against requests that never become whole and keep their connections.
TEST_F(SlowClient, IsDisconnectedIfItsHeaderIsLate)
{
  send("POST /a HTTP/1.1\r\n");
  await([this] { return server.connectionCount() == 0; });
  EXPECT_EQ(requests, 0);
}

TEST_F(SlowClient, IsDisconnectedIfItsBodyIsLate)
{
  send("POST /a HTTP/1.1\r\nWait: 100\r\nContent-Length: 2\r\n\r\n{");
  await([this] { return server.connectionCount() == 0; });
  EXPECT_EQ(requests, 0);
}

/// Guards against a limit that a caller meets who sends within its deadline.
TEST_F(SlowClient, IsServedIfItsBodyArrivesInItsOwnTime)
{
  send("POST /a HTTP/1.1\r\nWait: 20000\r\nContent-Length: 2\r\n\r\n{");
  waitLong();
  send("}");
  await([this] { return requests == 1; });
  EXPECT_EQ(server.connectionCount(), 1u);
}

TEST_F(SlowClient, MayIdleBetweenRequests)
{
  send("GET /a HTTP/1.1\r\n\r\n");
  waitLong();
  send("GET /a HTTP/1.1\r\n\r\n");
  await([this] { return requests == 2; });
  EXPECT_EQ(server.connectionCount(), 1u);
}

/// Guards against answers that are kept for clients that don't read them.
TEST_F(SlowClient, IsDisconnectedIfItDoesNotReadItsAnswer)
{
  send("GET /long HTTP/1.1\r\n\r\n");
  await([this] { return server.connectionCount() == 0; });
  EXPECT_EQ(requests, 1);
}

} // namespace
} // namespace cowslippin::testing
