#include "libasynchttp/asynchttp.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A pool of connections to a server that reads only when it is told to.
class ReopenedConnection : public ::testing::Test
{
protected:
  ReopenedConnection()
    : acceptor(context, { net::ip::make_address("127.0.0.1"), 0 })
    , pool(context, Address("127.0.0.1", acceptor.local_endpoint().port()), 2)
  {
  }

  net::ip::tcp::socket accept()
  {
    net::ip::tcp::socket peer(context);
    bool isAccepted = false;
    acceptor.async_accept(peer, [&](auto error) { isAccepted = !error; });
    await([&] { return isAccepted; });
    peer.non_blocking(true);
    return peer;
  }

  /// Reads what has arrived.
  static std::string drain(net::ip::tcp::socket& peer)
  {
    std::string text;
    std::vector<char> part(std::size_t(1) << 20);
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = peer.read_some(net::buffer(part), error);
      text.append(part.data(), size);
    }
    return text;
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + seconds(20);
    while (!condition() && steadyNow() < limit) {
      context.run_one_for(milliseconds(10));
      context.restart();
    }
    ASSERT_TRUE(condition());
  }

  void runFor(Duration time)
  {
    const TimePoint end = steadyNow() + time;
    await([&] { return steadyNow() >= end; });
  }

  net::io_context context;
  net::ip::tcp::acceptor acceptor;
  AsyncHttpConnectionPool pool;
};

/// Guards against the rest of a request whose call has ended being written to
/// the connection that is opened for the next call.
TEST_F(ReopenedConnection, BeginsWithTheNextRequest)
{
  const TimePoint deadline = steadyNow() + seconds(10);
  HttpCallRequest large;
  large.method = "POST";
  large.target = "/first";
  {
    // From now on memory of this size isn't unmapped when it is freed.
    const std::string freed(std::size_t(30) << 20, 'y');
  }
  large.body.assign(std::size_t(12) << 20, 'x');
  HttpCallRequest next;
  next.target = "/second";
  bool hasEnded = false;
  pool.call(large, deadline, [&](const HttpCallResult&) {
    hasEnded = true;
    pool.call(next, steadyNow() + seconds(20), [](const HttpCallResult&) {});
  });
  auto first = accept();
  runFor(milliseconds(200));
  // Writes go on in the turn at whose end the call ends.
  net::post(context, [&] {
    pool.expire(deadline);
    drain(first);
  });
  await([&] { return hasEnded; });
  auto second = accept();
  runFor(milliseconds(200));
  const std::string received = drain(second);
  EXPECT_EQ(received.substr(0, 11), "GET /second") << received.size();
}

} // namespace
} // namespace cowslippin::testing
