#include "slownetwork.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t smallBytes = 600'000;
constexpr std::size_t largeBytes = 900'000;
/// What the platform allows from its acknowledgement to the moment at which a
/// configuration is in force.
constexpr Duration applyTime = seconds(2);
/// How much longer it may take while the platform is disturbed.
constexpr Duration disturbedTime = seconds(5);

/// 41 daemons, as many as a region of three zones has had.
SlowNetwork::Settings
region()
{
  SlowNetwork::Settings settings;
  settings.daemons = 41;
  return settings;
}

void
tellAll(SlowNetwork& network, const std::string& configuration)
{
  for (std::size_t daemon = 0; daemon < region().daemons; ++daemon)
    network.platformTells(daemon, configuration);
}

/// The configuration had grown to 0.9 MB. Two of 41 daemons had not read it
/// from the platform when the others began to send it to them: each of the
/// others the whole of it, every second and after each new connection. On a
/// link of 25 Mbit/s 40 copies take 11 s, heartbeats came late behind them, and
/// the connections were given up after 450 ms with what was under way. The two
/// daemons served callers by version 17 for the rest of the day while their
/// links carried 1 to 4.5 MB every second; they logged `peer-down` some 28
/// times a second, and six in ten of these had `wasSilent`.
TEST(ConfigurationSpread, ReachesADaemonBehindASlowLinkWhereAllOthersHaveIt)
{
  SlowNetwork network(region());
  tellAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  const std::size_t before = network.receivedBytes(0);
  for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
    network.platformTells(daemon, SlowNetwork::configuration(21, largeBytes));
  network.runFor(applyTime);
  EXPECT_EQ(network.versionAt(0), 21u);
  EXPECT_EQ(network.lostConnections(), 0u);
  EXPECT_LT(network.receivedBytes(0) - before, 2 * largeBytes);
}

TEST(ConfigurationSpread, ReachesADaemonThatStartsWhereThePlatformIsAway)
{
  SlowNetwork network(region());
  for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
    network.platformTells(daemon, SlowNetwork::configuration(21, largeBytes));
  network.runFor(applyTime);
  EXPECT_EQ(network.versionAt(0), 21u);
  EXPECT_EQ(network.lostConnections(), 0u);
}

TEST(ConfigurationSpread, ReachesAllFromTheOneDaemonThatThePlatformServes)
{
  SlowNetwork network(region());
  tellAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  network.platformTells(7, SlowNetwork::configuration(21, largeBytes));
  network.runFor(applyTime + disturbedTime);
  EXPECT_EQ(network.oldestVersion(), 21u);
  EXPECT_EQ(network.lostConnections(), 0u);
}

TEST(ConfigurationSpread, LeavesTheLinkToThePlatformsAnswerWhileThatComes)
{
  SlowNetwork network(region());
  tellAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  const std::size_t before = network.receivedBytes(0);
  network.setPlatformTelling(0, true);
  for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
    network.platformTells(daemon, SlowNetwork::configuration(21, largeBytes));
  network.runFor(milliseconds(900));
  EXPECT_LT(network.receivedBytes(0) - before, largeBytes / 10);
}

TEST(ConfigurationSpread, KeepsUpWithConfigurationsInQuickSuccession)
{
  SlowNetwork network(region());
  tellAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  std::uint64_t version = 20;
  for (; version < 30; ++version) {
    for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
      network.platformTells(daemon,
                            SlowNetwork::configuration(version, largeBytes));
    network.runFor(milliseconds(400));
  }
  EXPECT_GT(network.versionAt(0), 21u)
    << "a newer version doesn't end the sending of the one before";
  network.runFor(applyTime);
  EXPECT_EQ(network.versionAt(0), version - 1);
}

} // namespace
} // namespace cowslippin::testing
