#include "libasynchttp/asynchttp.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string wholeRequest = "GET /a HTTP/1.1\r\n\r\n";

/// A server of at most three connections, whose requests are answered by the
/// tests, and its clients, on one thread.
class ConnectionLimit : public ::testing::Test
{
protected:
  using Client = std::unique_ptr<net::ip::tcp::socket>;

  ConnectionLimit()
    : server(context,
             settings(),
             [this](const HttpRequest&,
                    const std::shared_ptr<HttpTransaction>& transaction) {
               transactions.push_back(transaction);
             })
  {
    net::ip::tcp::acceptor probe(context,
                                 { net::ip::make_address("127.0.0.1"), 0 });
    endpoint = probe.local_endpoint();
    probe.close();
    EXPECT_EQ(server.listen(Address("127.0.0.1", endpoint.port())),
              std::nullopt);
  }

  static AsyncHttpServer::Settings settings()
  {
    AsyncHttpServer::Settings settings;
    settings.maxConnections = 3;
    return settings;
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      context.poll();
      context.restart();
    }
  }

  /// Connects and sends some bytes, which may be none.
  Client connect(const std::string& bytes)
  {
    auto client = std::make_unique<net::ip::tcp::socket>(context);
    client->connect(endpoint);
    client->non_blocking(true);
    net::write(*client, net::buffer(bytes));
    // The server accepts connections one after the other.
    const std::size_t served =
      transactions.size() + (bytes == wholeRequest ? 1 : 0);
    for (int turn = 0; turn < 100 || transactions.size() < served; ++turn) {
      context.poll();
      context.restart();
    }
    return client;
  }

  static bool isClosed(const Client& client)
  {
    char byte = 0;
    boost::system::error_code error;
    client->read_some(net::buffer(&byte, 1), error);
    return error == net::error::eof || error == net::error::connection_reset;
  }

  net::io_context context;
  AsyncHttpServer server;
  net::ip::tcp::endpoint endpoint;
  std::vector<std::shared_ptr<HttpTransaction>> transactions;
};

/// Guards against idle connections that take all descriptors of the process.
TEST_F(ConnectionLimit, ANewConnectionReplacesTheOneThatHasIdledLongest)
{
  const Client first = connect("");
  const Client second = connect("");
  const Client third = connect("");
  const Client fourth = connect(wholeRequest);
  await([&] { return isClosed(first); });
  EXPECT_FALSE(isClosed(second));
  EXPECT_FALSE(isClosed(third));
  EXPECT_EQ(server.connectionCount(), 3u);
  EXPECT_EQ(transactions.size(), 1u);
}

/// Guards against the loss of a request that is being served.
TEST_F(ConnectionLimit, ARequestThatIsServedKeepsItsConnection)
{
  const Client first = connect(wholeRequest);
  const Client second = connect("");
  const Client third = connect(wholeRequest);
  const Client fourth = connect(wholeRequest);
  await([&] { return isClosed(second); });
  const Client fifth = connect("");
  await([&] { return isClosed(fifth); });
  EXPECT_FALSE(isClosed(first));
  EXPECT_FALSE(isClosed(third));
  EXPECT_FALSE(isClosed(fourth));
  EXPECT_EQ(server.connectionCount(), 3u);
}

TEST_F(ConnectionLimit, ARequestThatHasJustBegunIsClosedAfterIdleConnections)
{
  const Client first = connect("GET /a HTTP");
  const Client second = connect("");
  const Client third = connect("");
  const Client fourth = connect("");
  await([&] { return isClosed(second); });
  EXPECT_FALSE(isClosed(first));
}

/// Guards against clients that keep their connections by never finishing a
/// request.
TEST_F(ConnectionLimit, ASlowRequestIsClosedBeforeIdleConnections)
{
  const Client first = connect("");
  const Client second = connect("GET /a HTTP");
  const Client third = connect("");
  const TimePoint slow = steadyNow() + milliseconds(1100);
  await([&] { return steadyNow() > slow; });
  const Client fourth = connect("");
  await([&] { return isClosed(second); });
  EXPECT_FALSE(isClosed(first));
}

} // namespace
} // namespace cowslippin::testing
