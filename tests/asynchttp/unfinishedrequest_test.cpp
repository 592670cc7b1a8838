#include "libasynchttp/asynchttp.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using std::chrono::seconds;

constexpr std::size_t maxBodyBytes = std::size_t(256) * 1024;
const std::string chunkedBegin =
  "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server and a client that sends it bytes, on one thread.
class UnfinishedRequest : public ::testing::Test
{
protected:
  UnfinishedRequest()
    : server(context,
             settings(),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpTransaction>& transaction) {
               requests.push_back(request);
               transaction->answer(HttpReply::json(200, "{}"));
             })
    , client(context)
  {
    net::ip::tcp::acceptor probe(context,
                                 { net::ip::make_address("127.0.0.1"), 0 });
    endpoint = probe.local_endpoint();
    probe.close();
    EXPECT_EQ(server.listen(Address("127.0.0.1", endpoint.port())),
              std::nullopt);
    client.connect(endpoint);
    client.non_blocking(true);
    client.set_option(net::ip::tcp::no_delay(true));
    run();
  }

  static AsyncHttpServer::Settings settings()
  {
    return AsyncHttpServer::Settings();
  }

  /// Runs the server until it has nothing to do for now.
  void run()
  {
    while (context.poll() > 0) {
    }
    context.restart();
  }

  /// Sends all bytes unless the server closes the connection. The server reads
  /// them as they come.
  void send(const std::string& bytes)
  {
    std::size_t sent = 0;
    const TimePoint limit = steadyNow() + seconds(20);
    while (sent < bytes.size() && steadyNow() < limit) {
      boost::system::error_code error;
      sent += client.write_some(
        net::buffer(bytes.data() + sent, bytes.size() - sent), error);
      run();
      if (error && error != net::error::would_block)
        return;
    }
  }

  /// Waits for answers and returns the status of the first one; 0 if the
  /// connection ends without one.
  int status()
  {
    constexpr std::size_t codeBegin = 9;
    std::string text(4096, '\0');
    std::size_t count = 0;
    boost::system::error_code error = net::error::would_block;
    const TimePoint limit = steadyNow() + seconds(20);
    while (error == net::error::would_block && steadyNow() < limit) {
      run();
      count = client.read_some(net::buffer(text), error);
    }
    return count > codeBegin ? std::stoi(text.substr(codeBegin, 3)) : 0;
  }

  net::io_context context;
  AsyncHttpServer server;
  std::vector<HttpRequest> requests;
  net::ip::tcp::endpoint endpoint;
  net::ip::tcp::socket client;
};

std::string
repeat(const std::string& unit, std::size_t count)
{
  std::string text;
  for (std::size_t i = 0; i < count; ++i)
    text += unit;
  return text;
}

/// Guards against a limit that refuses the largest body that is allowed.
TEST_F(UnfinishedRequest, ABodyOfTheLimitInOneChunkIsServed)
{
  send(chunkedBegin + "40000\r\n" + std::string(maxBodyBytes, 'x') +
       "\r\n0\r\n\r\n");
  EXPECT_EQ(status(), 200);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].body(), std::string(maxBodyBytes, 'x'));
}

TEST_F(UnfinishedRequest, ABodyOfTheLimitInChunksOfOneByteIsServed)
{
  send(chunkedBegin + repeat("1\r\nx\r\n", maxBodyBytes) + "0\r\n\r\n");
  EXPECT_EQ(status(), 200);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].body(), std::string(maxBodyBytes, 'x'));
}

TEST_F(UnfinishedRequest, ABodyOfTheLimitWithItsLengthIsServed)
{
  send("POST /a HTTP/1.1\r\nContent-Length: 262144\r\n\r\n" +
       std::string(maxBodyBytes, 'x'));
  EXPECT_EQ(status(), 200);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].body().size(), maxBodyBytes);
}

TEST_F(UnfinishedRequest, ABodyOverTheLimitIsRefused)
{
  send(chunkedBegin + "20000\r\n" + std::string(maxBodyBytes / 2, 'x') +
       "\r\n20001\r\n");
  EXPECT_EQ(status(), 413);
  EXPECT_TRUE(requests.empty());
}

TEST_F(UnfinishedRequest, RequestsThatArriveByteByByteAreServed)
{
  const std::string request =
    chunkedBegin + "2;name=value\r\nab\r\n1\r\nc\r\n0\r\nTrailer: x\r\n\r\n";
  for (int sent = 0; sent < 3; ++sent) {
    for (const char byte : request)
      send(std::string(1, byte));
    EXPECT_EQ(status(), 200);
  }
  ASSERT_EQ(requests.size(), 3u);
  EXPECT_EQ(requests[2].body(), "abc");
}

TEST_F(UnfinishedRequest, PipelinedRequestsAreServedInTurn)
{
  send(repeat("GET /a HTTP/1.1\r\n\r\n", 10));
  EXPECT_EQ(status(), 200);
  EXPECT_EQ(requests.size(), 10u);
}

/// Guards against memory that trailers take.
TEST_F(UnfinishedRequest, TrailersOverTheLimitAreRefused)
{
  send(chunkedBegin + "0\r\n" + repeat("Name: value\r\n", 2000));
  EXPECT_EQ(status(), 431);
}

/// Guards against memory that the extensions of a chunk take.
TEST_F(UnfinishedRequest, AChunkLineOverTheLimitIsRefused)
{
  send(chunkedBegin + "1" + repeat(";name=value", 2000));
  EXPECT_EQ(status(), 431);
}

/// Guards against memory that a header without end takes.
TEST_F(UnfinishedRequest, AHeaderOverTheLimitIsRefused)
{
  send("POST /a HTTP/1.1\r\n");
  for (int line = 0; line < 40; ++line)
    send("Name: " + std::string(492, 'x') + "\r\n");
  EXPECT_EQ(status(), 431);
}

/// Guards against memory that fields take beside their bytes.
TEST_F(UnfinishedRequest, TooManyFieldsAreRefused)
{
  send("POST /a HTTP/1.1\r\n" + repeat("a:\r\n", 101) + "\r\n");
  EXPECT_EQ(status(), 431);
  EXPECT_TRUE(requests.empty());
}

TEST_F(UnfinishedRequest, AsManyFieldsAsAllowedAreServed)
{
  send("POST /a HTTP/1.1\r\n" + repeat("a:\r\n", 100) + "\r\n");
  EXPECT_EQ(status(), 200);
}

} // namespace
} // namespace cowslippin::testing
