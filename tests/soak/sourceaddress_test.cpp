#include "support/childprocess.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace cowslippin::testing {
namespace {

using boost::asio::ip::tcp;

/// In ms.
std::int64_t
timeOfDay()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// What a program reads as the time of day, in ms.
std::int64_t
timeOfDayWithOffset(const std::string& offset)
{
  ChildProcess child({ "/usr/bin/env",
                       std::string("LD_PRELOAD=") + SOURCE_ADDRESS_LIBRARY,
                       "COWSLIPPIN_SOAK_CLOCK_MS=" + offset,
                       "/bin/date",
                       "+time %s%3N" });
  const std::string line = child.waitForLine("time ");
  return std::stoll(line.substr(line.find(' ')));
}

TEST(SourceAddress, IsWhereAProgramsConnectionsComeFrom)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const std::string port = std::to_string(acceptor.local_endpoint().port());
  ChildProcess child({ "/usr/bin/env",
                       std::string("LD_PRELOAD=") + SOURCE_ADDRESS_LIBRARY,
                       "COWSLIPPIN_SOAK_SOURCE=127.0.2.7",
                       "/bin/bash",
                       "-c",
                       "exec 3<>/dev/tcp/127.0.0.1/" + port });
  tcp::socket accepted(context);
  acceptor.async_accept(accepted, [](const auto&) {});
  context.run_for(std::chrono::seconds(20));
  ASSERT_TRUE(accepted.is_open());
  EXPECT_EQ(accepted.remote_endpoint().address().to_string(), "127.0.2.7");
  EXPECT_EQ(child.wait().code, 0);
}

TEST(SourceAddress, LeavesTheTimeOfDayAsItIsWithoutAnOffset)
{
  EXPECT_NEAR(timeOfDayWithOffset("0"), timeOfDay(), 20000);
}

TEST(SourceAddress, SetsTheTimeOfDayBackAndAhead)
{
  EXPECT_NEAR(timeOfDayWithOffset("-100500"), timeOfDay() - 100500, 20000);
  EXPECT_NEAR(timeOfDayWithOffset("100500"), timeOfDay() + 100500, 20000);
}

} // namespace
} // namespace cowslippin::testing
