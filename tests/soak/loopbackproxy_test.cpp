#include "loopbackproxy.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <deque>
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

TEST_F(LoopbackProxyTest, HoldsBothDirectionsOfACutSourceUntilTheCutEnds)
{
  proxy.cut(
    { [](const std::string& source) { return source == "127.0.0.1"; }, false });
  boost::asio::write(caller, boost::asio::buffer("held", 4));
  boost::asio::write(target, boost::asio::buffer("back", 4));
  runFor(milliseconds(100));
  EXPECT_EQ(target.available(), 0u);
  EXPECT_EQ(caller.available(), 0u);
  proxy.endCut();
  runUntil([this] { return target.available() == 4; });
  runUntil([this] { return caller.available() == 4; });
}

TEST_F(LoopbackProxyTest, CutsNoOtherSource)
{
  proxy.cut(
    { [](const std::string& source) { return source == "127.0.0.9"; }, false });
  boost::asio::write(caller, boost::asio::buffer("passed", 6));
  runUntil([this] { return target.available() == 6; });
}

TEST_F(LoopbackProxyTest, CutsConnectionsThatComeDuringTheCut)
{
  proxy.cut(
    { [](const std::string& source) { return source == "127.0.0.9"; }, false });
  tcp::socket late(context, { boost::asio::ip::make_address("127.0.0.9"), 0 });
  late.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                             proxy.address().port()));
  boost::asio::write(late, boost::asio::buffer("held", 4));
  tcp::socket lateTarget(context);
  acceptor.async_accept(lateTarget, [](const auto&) {});
  runUntil([&] { return lateTarget.is_open(); });
  runFor(milliseconds(100));
  EXPECT_EQ(lateTarget.available(), 0u);
  proxy.endCut();
  runUntil([&] { return lateTarget.available() == 4; });
}

TEST_F(LoopbackProxyTest, TellsTheEndOfACutConnectionAfterWhatWasHeld)
{
  proxy.cut({ [](const std::string&) { return true; }, false });
  collect(target, received);
  boost::asio::write(caller, boost::asio::buffer("held", 4));
  caller.close();
  runFor(milliseconds(100));
  EXPECT_FALSE(lastError);
  proxy.endCut();
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(received, "held");
}

TEST_F(LoopbackProxyTest, LosesTheEndOfACutConnectionAndDeliversWhatWasHeld)
{
  proxy.cut({ [](const std::string&) { return true; }, true });
  collect(target, received);
  boost::asio::write(caller, boost::asio::buffer("held", 4));
  runFor(milliseconds(50));
  caller.set_option(boost::asio::socket_base::linger(true, 0));
  caller.close();
  runFor(milliseconds(50));
  proxy.endCut();
  runUntil([this] { return received == "held"; });
  runFor(milliseconds(100));
  EXPECT_FALSE(lastError);
  boost::asio::write(target, boost::asio::buffer("answer", 6));
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
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

TEST_F(LoopbackProxyTest, ResetsWhatComesWhileItRefuses)
{
  const tcp::endpoint there(boost::asio::ip::make_address("127.0.0.1"),
                            proxy.address().port());
  proxy.setRefusing(true);
  tcp::socket refused(context);
  refused.connect(there);
  collect(refused, received);
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
  proxy.setRefusing(false);
  tcp::socket passed(context);
  passed.connect(there);
  tcp::socket passedTarget(context);
  acceptor.async_accept(passedTarget, [](const auto&) {});
  boost::asio::write(passed, boost::asio::buffer("hello", 5));
  runUntil(
    [&] { return passedTarget.is_open() && passedTarget.available() == 5; });
}

TEST_F(LoopbackProxyTest, TellsTheTargetLaterThatTheCallerIsGone)
{
  std::string answer;
  collect(caller, answer);
  const TimePoint reset = steadyNow();
  proxy.resetCallers(milliseconds(150));
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
  lastError = {};
  collect(target, received);
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
  EXPECT_GE(steadyNow() - reset, milliseconds(150));
}

TEST_F(LoopbackProxyTest, GrowsADelayWithoutALongSilenceAndShrinksItAgain)
{
  LoopbackProxy::Fault ramp;
  ramp.peakDelay = milliseconds(300);
  ramp.rampTime = milliseconds(600);
  proxy.setFaults(ramp, {});
  collect(target, received);
  const TimePoint start = steadyNow();
  TimePoint lastArrival = start;
  Duration longestSilence = Duration::zero();
  Duration longestDelay = Duration::zero();
  std::deque<TimePoint> sent;
  while (steadyNow() - start < milliseconds(900)) {
    boost::asio::write(caller, boost::asio::buffer("x", 1));
    sent.push_back(steadyNow());
    const std::size_t before = received.size();
    runFor(milliseconds(10));
    for (std::size_t i = before; i < received.size(); ++i) {
      longestDelay = std::max(longestDelay, steadyNow() - sent.front());
      sent.pop_front();
    }
    if (received.size() > before) {
      longestSilence = std::max(longestSilence, steadyNow() - lastArrival);
      lastArrival = steadyNow();
    }
  }
  EXPECT_GE(longestDelay, milliseconds(250));
  EXPECT_LT(longestSilence, milliseconds(200));
  EXPECT_LE(sent.size(), 2u);
}

TEST_F(LoopbackProxyTest, DelaysAResetLikeTheBytesBeforeIt)
{
  LoopbackProxy::Fault slow;
  slow.delay = milliseconds(80);
  proxy.setFaults(slow, {});
  collect(target, received);
  const TimePoint sent = steadyNow();
  boost::asio::write(caller, boost::asio::buffer("last", 4));
  caller.set_option(boost::asio::socket_base::linger(true, 0));
  caller.close();
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
  EXPECT_GE(steadyNow() - sent, slow.delay);
}

TEST_F(LoopbackProxyTest, HoldsAResetBackDuringSilence)
{
  LoopbackProxy::Fault silent;
  silent.isSilent = true;
  proxy.setFaults(silent, {});
  collect(target, received);
  caller.set_option(boost::asio::socket_base::linger(true, 0));
  caller.close();
  runFor(milliseconds(100));
  EXPECT_FALSE(lastError);
  proxy.setFaults({}, {});
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
}

TEST_F(LoopbackProxyTest, TellsALostTargetAsLateAsItsBytes)
{
  LoopbackProxy::Fault slow;
  slow.delay = milliseconds(80);
  proxy.setFaults({}, slow);
  collect(caller, received);
  const TimePoint sent = steadyNow();
  target.set_option(boost::asio::socket_base::linger(true, 0));
  target.close();
  boost::asio::write(caller, boost::asio::buffer("lost", 4));
  runUntil([this] { return bool(lastError); });
  EXPECT_EQ(lastError, boost::asio::error::connection_reset);
  EXPECT_GE(steadyNow() - sent, slow.delay);
}

TEST_F(LoopbackProxyTest, DeliversWhatIsUnderWayWhenACallerIsReset)
{
  collect(target, received);
  proxy.setOwnDelays([] { return milliseconds(100); });
  boost::asio::write(caller, boost::asio::buffer("order", 5));
  runFor(milliseconds(20));
  proxy.resetSome([] { return true; }, true);
  std::string answer;
  collect(caller, answer);
  runUntil(
    [this] { return lastError == boost::asio::error::connection_reset; });
  runUntil([this] { return received == "order"; });
}

TEST_F(LoopbackProxyTest, LosesWhatIsUnderWayWhenBothSidesAreReset)
{
  collect(target, received);
  proxy.setOwnDelays([] { return milliseconds(100); });
  boost::asio::write(caller, boost::asio::buffer("order", 5));
  runFor(milliseconds(20));
  proxy.resetSome([] { return true; }, false);
  runUntil(
    [this] { return lastError == boost::asio::error::connection_reset; });
  EXPECT_EQ(received, "");
}

TEST_F(LoopbackProxyTest, LeavesConnectionsThatAreNotChosen)
{
  proxy.resetSome([] { return false; }, true);
  boost::asio::write(caller, boost::asio::buffer("order", 5));
  runUntil([this] { return target.available() == 5; });
}

TEST_F(LoopbackProxyTest, TellsItsObserverWhoSentWhatAndHowLongItWasHeldUp)
{
  std::string seen;
  Duration held = Duration::zero();
  proxy.setObserver(
    [&](const std::string& source, const std::string& bytes, Duration heldFor) {
      seen = source + ' ' + bytes;
      held = heldFor;
    });
  proxy.setOwnDelays([] { return milliseconds(50); });
  boost::asio::write(caller, boost::asio::buffer("order", 5));
  runUntil([&] { return seen == "127.0.0.1 order"; });
  EXPECT_GE(held, milliseconds(50));
}

TEST_F(LoopbackProxyTest, RefusesConnectionsWhileItIsClosed)
{
  const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               proxy.address().port());
  proxy.setClosed(true);
  tcp::socket next(context);
  boost::system::error_code error;
  next.connect(endpoint, error);
  EXPECT_EQ(error, boost::asio::error::connection_refused);
  next.close();
  proxy.setClosed(false);
  next.connect(endpoint, error);
  EXPECT_FALSE(error);
}

} // namespace
} // namespace cowslippin::testing
