#include "platform/program/options.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace cowslippin::testing {
namespace {

Result<Options>
read(std::vector<const char*> arguments)
{
  arguments.insert(arguments.begin(), "cowslippind-platform");
  return readOptions(static_cast<int>(arguments.size()), arguments.data());
}

TEST(PlatformOptions, AllHaveDefaults)
{
  const auto options = read({});
  ASSERT_TRUE(options);
  EXPECT_EQ(options->operatorPort, 0);
  EXPECT_EQ(options->peerListenHost, "");
  EXPECT_EQ(options->eventsPerSecond, 400u);
  EXPECT_FALSE(options->isHelpRequested);
}

TEST(PlatformOptions, AFlagTakesPrecedenceOverItsVariable)
{
  setenv("COWSLIPPIN_PEER_LISTEN_HOST", "127.0.2.1", 1);
  const auto fromVariable = read({});
  const auto fromFlag = read({ "--peer-listen-host", "127.0.2.2" });
  unsetenv("COWSLIPPIN_PEER_LISTEN_HOST");
  ASSERT_TRUE(fromVariable);
  ASSERT_TRUE(fromFlag);
  EXPECT_EQ(fromVariable->peerListenHost, "127.0.2.1");
  EXPECT_EQ(fromFlag->peerListenHost, "127.0.2.2");
}

struct InvalidOption
{
  const char* flag;
  const char* value;
};

class InvalidOptions : public ::testing::TestWithParam<InvalidOption>
{};

TEST_P(InvalidOptions, TheProblemNamesTheOptionAndItsValue)
{
  const InvalidOption& invalid = GetParam();
  const std::string flag = std::string("--") + invalid.flag;
  const auto options = read({ flag.c_str(), invalid.value });
  ASSERT_FALSE(options);
  const std::string detail = options.error().detail();
  EXPECT_NE(detail.find(invalid.flag), std::string::npos) << detail;
  EXPECT_NE(detail.find(invalid.value), std::string::npos) << detail;
}

INSTANTIATE_TEST_SUITE_P(
  All,
  InvalidOptions,
  ::testing::Values(InvalidOption{ "operator-port", "65536" },
                    InvalidOption{ "operator-port", "80x" },
                    InvalidOption{ "operator-port", "-1" },
                    InvalidOption{ "peer-listen-host", "edge-1.example" },
                    InvalidOption{ "peer-listen-host", "127.0.0.1:80" },
                    InvalidOption{ "events-per-second", "0" },
                    InvalidOption{ "log-level", "loud" }));

TEST(PlatformOptions, AnUnknownFlagIsRejected)
{
  const auto options = read({ "--peer-host", "127.0.0.1" });
  ASSERT_FALSE(options);
  EXPECT_NE(options.error().detail().find("peer-host"), std::string::npos);
}

} // namespace
} // namespace cowslippin::testing
