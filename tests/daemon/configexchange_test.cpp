#include "libdaemon/configexchange.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

/// A daemon that has no configuration yet, with peers that have one.
class ConfigExchangeTest : public ::testing::Test
{
protected:
  ConfigExchangeTest()
    : config({}, [](const Configuration&) {})
    , exchange(
        config,
        [this](const VmId& vm, const Message&) {
          asked.push_back(vm);
          return true;
        },
        [this] { return now; })
  {
  }

  TimePoint now{ seconds(1000) };
  std::vector<VmId> asked;
  ConfigService config;
  ConfigExchange exchange;
};

/// Every peer that was ahead was asked for the whole configuration, at each of
/// its messages: daemons of the same region had filled slow links so that
/// nothing arrived.
TEST_F(ConfigExchangeTest, AsksOnePeerAtATime)
{
  for (const char* vm : { "a", "b", "c", "a", "b", "c" })
    exchange.peerHas(VmId(vm), 9);
  EXPECT_EQ(asked, std::vector<VmId>{ VmId("a") });
}

TEST_F(ConfigExchangeTest, AsksAnotherWhereOneGivesNoAnswer)
{
  exchange.peerHas(VmId("a"), 9);
  now += seconds(3);
  exchange.peerHas(VmId("b"), 9);
  EXPECT_EQ(asked, (std::vector<VmId>{ VmId("a"), VmId("b") }));
}

TEST_F(ConfigExchangeTest, AsksAnotherAtOnceWhereAnAnswerIsOfNoUse)
{
  exchange.peerHas(VmId("a"), 9);
  exchange.transferred(ConfigTransfer({ 9, "not a configuration" }));
  exchange.peerHas(VmId("b"), 9);
  EXPECT_EQ(asked, (std::vector<VmId>{ VmId("a"), VmId("b") }));
}

} // namespace
} // namespace cowslippin::testing
