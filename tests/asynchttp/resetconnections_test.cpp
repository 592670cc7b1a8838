#include "libasynchttp/asynchttp.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace cowslippin::testing {
namespace {

namespace net = boost::asio;
using Kind = HttpCallResult::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A pool of two connections to a server that answers nothing.
class ResetConnections : public ::testing::Test
{
protected:
  static constexpr std::size_t maxConnections = 2;

  ResetConnections()
    : acceptor(context, { net::ip::make_address("127.0.0.1"), 0 })
    , pool(context,
           Address("127.0.0.1", acceptor.local_endpoint().port()),
           maxConnections)
  {
  }

  void call()
  {
    pool.call(HttpCallRequest(),
              steadyNow() + seconds(20),
              [this](const HttpCallResult& end) { ends.push_back(end.kind); });
  }

  net::ip::tcp::socket accept()
  {
    net::ip::tcp::socket peer(context);
    bool isAccepted = false;
    acceptor.async_accept(peer, [&](auto error) { isAccepted = !error; });
    await([&] { return isAccepted; });
    return peer;
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

  net::io_context context;
  net::ip::tcp::acceptor acceptor;
  AsyncHttpConnectionPool pool;
  std::vector<Kind> ends;
};

/// Guards against calls that fail unsent, as connections that were reset count
/// toward the limit until the owner's next call of `expire`.
TEST_F(ResetConnections, MakeRoomForNewOnesAtOnce)
{
  call();
  call();
  {
    const auto first = accept();
    const auto second = accept();
  }
  await([&] { return ends.size() == 2; });
  EXPECT_EQ(ends, (std::vector<Kind>{ Kind::Unanswered, Kind::Unanswered }));
  call();
  const auto third = accept();
  EXPECT_EQ(ends.size(), 2u);
  EXPECT_LE(pool.size(), maxConnections);
}

/// Guards against more connections than allowed.
TEST_F(ResetConnections, CallsInProgressStillCount)
{
  call();
  call();
  call();
  await([&] { return !ends.empty(); });
  EXPECT_EQ(ends, std::vector<Kind>{ Kind::NotSent });
}

} // namespace
} // namespace cowslippin::testing
