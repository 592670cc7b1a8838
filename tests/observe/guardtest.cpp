#include "libobserve/observe.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>
#include <stdexcept>

namespace cowslippin {
namespace {

class Guard : public testing::Test
{
protected:
  void SetUp() override
  {
    initialiseLogging(
      { LogLevel::Info, LogDelivery::Synchronous, 1000, &m_stream });
  }
  void TearDown() override { stopLogging(); }

  std::vector<nlohmann::json> records()
  {
    std::vector<nlohmann::json> records;
    std::istringstream lines(m_stream.str());
    for (std::string line; std::getline(lines, line);)
      records.push_back(nlohmann::json::parse(line));
    return records;
  }

  std::ostringstream m_stream;
};

TEST_F(Guard, LogsAnExceptionAndReturns)
{
  EXPECT_TRUE(runGuarded("good", [] {}));
  EXPECT_FALSE(runGuarded("tick", [] { throw std::runtime_error("why"); }));
  EXPECT_FALSE(runGuarded("other", [] { throw 7; }));
  const auto lines = records();
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[0]["event"], "handler-failed");
  EXPECT_EQ(lines[0]["handler"], "tick");
  EXPECT_EQ(lines[0]["reason"], "why");
  EXPECT_EQ(lines[1]["handler"], "other");
}

/// Stands for an I/O context of which some handlers throw.
struct ThrowingContext
{
  int calls = 0;

  void run()
  {
    if (++calls < 3)
      throw std::runtime_error("handler");
  }
};

/// Guards against the end of a process by an exception from a handler.
TEST_F(Guard, AnEventLoopGoesOnAfterAnException)
{
  ThrowingContext context;
  runEventLoop(context);
  EXPECT_EQ(context.calls, 3);
  EXPECT_EQ(records().size(), 2u);
}

/// Guards against a log that a foreign text fills.
TEST_F(Guard, ALineHasALimitedLength)
{
  logEvent(LogLevel::Info,
           "long",
           { { "a", std::string(1'000'000, 'x') },
             { "b", std::string(1'000'000, '\xff') } });
  EXPECT_LT(m_stream.str().size(), 3 * maxLogTextBytes);
  ASSERT_EQ(records().size(), 1u);
  EXPECT_EQ(records()[0]["a"].get<std::string>().size(), maxLogTextBytes);
}

} // namespace
} // namespace cowslippin
