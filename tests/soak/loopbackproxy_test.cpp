#include "loopbackproxy.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <functional>

namespace cowslippin::testing {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/// A connection through a proxy to a target in this process.
class LoopbackProxyTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    caller.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 proxy.address().port()));
    acceptor.async_accept(target, [](const auto&) {});
    runUntil([this] { return target.is_open(); });
  }

  void runFor(Duration time)
  {
    const TimePoint end = steadyNow() + time;
    while (steadyNow() < end) {
      context.run_for(milliseconds(2));
      proxy.tick(steadyNow());
    }
  }

  void runUntil(const std::function<bool()>& isDone)
  {
    const TimePoint limit = steadyNow() + std::chrono::seconds(20);
    while (!isDone() && steadyNow() < limit)
      runFor(milliseconds(2));
    ASSERT_TRUE(isDone());
  }

  /// Begins to collect what comes at a socket.
  void collect(tcp::socket& socket, std::string& text)
  {
    socket.async_read_some(
      boost::asio::buffer(buffer),
      [this, &socket, &text](boost::system::error_code error, std::size_t n) {
        text.append(buffer.data(), n);
        lastError = error;
        if (!error)
          collect(socket, text);
      });
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor{ context,
                          { boost::asio::ip::make_address("127.0.0.1"), 0 } };
  LoopbackProxy proxy{ context,
                       { "127.0.0.1", 0 },
                       { "127.0.0.1", acceptor.local_endpoint().port() } };
  tcp::socket caller{ context };
  tcp::socket target{ context };
  std::array<char, 100> buffer{};
  std::string received;
  boost::system::error_code lastError;
};

TEST_F(LoopbackProxyTest, PassesBytesAndTheirEnd)
{
  collect(target, received);
  boost::asio::write(caller, boost::asio::buffer("hello", 5));
  caller.shutdown(tcp::socket::shutdown_send);
  runUntil([this] { return lastError == boost::asio::error::eof; });
  EXPECT_EQ(received, "hello");
}

TEST_F(LoopbackProxyTest, CutsOneWayOnlyAndDeliversAfterwards)
{
  LoopbackProxy::Fault silent;
  silent.isSilent = true;
  proxy.setFaults(silent, {});
  boost::asio::write(caller, boost::asio::buffer("late", 4));
  boost::asio::write(target, boost::asio::buffer("back", 4));
  std::string answer;
  collect(caller, answer);
  runUntil([&] { return answer == "back"; });
  EXPECT_EQ(target.available(), 0u);
  proxy.setFaults({}, {});
  runUntil([this] { return target.available() == 4; });
}

TEST_F(LoopbackProxyTest, DelaysWhatComesDuringTheFault)
{
  LoopbackProxy::Fault slow;
  slow.delay = milliseconds(80);
  proxy.setFaults(slow, {});
  const TimePoint sent = steadyNow();
  boost::asio::write(caller, boost::asio::buffer("slow", 4));
  runUntil([this] { return target.available() == 4; });
  EXPECT_GE(steadyNow() - sent, slow.delay);
}

TEST_F(LoopbackProxyTest, ResetsWhatIsOpen)
{
  collect(target, received);
  proxy.reset();
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
}

} // namespace
} // namespace cowslippin::testing
