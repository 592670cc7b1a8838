#include "slownetwork.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t smallBytes = 600'000;
constexpr std::size_t largeBytes = 900'000;
/// The platform's limit of the time between its acknowledgement of a
/// configuration and the moment at which the configuration is in force.
constexpr Duration applyTime = seconds(2);
/// Added to `applyTime` while the platform is disturbed.
constexpr Duration disturbanceTime = seconds(5);

/// A region of three zones with 41 daemons.
SlowNetwork::Settings
region()
{
  SlowNetwork::Settings settings;
  settings.daemons = 41;
  return settings;
}

void
deliverToAll(SlowNetwork& network, const std::string& configuration)
{
  for (std::size_t daemon = 0; daemon < region().daemons; ++daemon)
    network.deliverFromPlatform(daemon, configuration);
}

/// Guards against an overload of a slow link by configurations that all other
/// daemons push. Two of 41 daemons hadn't read a new configuration of 0.9 MB
/// from the platform. Each of the other daemons sent them the whole of it,
/// every second and after each new connection. On a link of 25 Mbit/s 40 copies
/// take 11 s; heartbeats queued behind them, and the connections were closed
/// after 450 ms with the transfers in progress. The two daemons served callers
/// by the old version for the rest of the day while their links carried 1 to
/// 4.5 MB every second; they logged `peer-down` some 28 times a second, in six
/// of ten cases with `wasSilent`.
TEST(ConfigurationDistribution,
     ReachesADaemonBehindASlowLinkWhenAllOthersHaveIt)
{
  SlowNetwork network(region());
  deliverToAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  const std::size_t before = network.receivedBytes(0);
  for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
    network.deliverFromPlatform(daemon,
                                SlowNetwork::configuration(21, largeBytes));
  network.runFor(applyTime);
  EXPECT_EQ(network.versionAt(0), 21u);
  EXPECT_EQ(network.lostConnections(), 0u);
  EXPECT_LT(network.receivedBytes(0) - before, 2 * largeBytes);
}

/// Guards against a daemon that stays without a configuration because it starts
/// while the platform is unavailable.
TEST(ConfigurationDistribution,
     ReachesADaemonThatStartsWhileThePlatformIsUnavailable)
{
  SlowNetwork network(region());
  for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
    network.deliverFromPlatform(daemon,
                                SlowNetwork::configuration(21, largeBytes));
  network.runFor(applyTime);
  EXPECT_EQ(network.versionAt(0), 21u);
  EXPECT_EQ(network.lostConnections(), 0u);
}

/// Guards against an overload of the link of the only daemon that has read the
/// new version. 40 other daemons request the version from it.
TEST(ConfigurationDistribution,
     ReachesAllFromTheOnlyDaemonThatThePlatformServes)
{
  SlowNetwork network(region());
  deliverToAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  network.deliverFromPlatform(7, SlowNetwork::configuration(21, largeBytes));
  network.runFor(applyTime + disturbanceTime);
  EXPECT_EQ(network.oldestVersion(), 21u);
  EXPECT_EQ(network.lostConnections(), 0u);
}

/// Guards against transfers from other daemons that delay the platform's answer
/// on the same slow link.
TEST(ConfigurationDistribution, LeavesTheLinkToThePlatformsAnswerWhileItArrives)
{
  SlowNetwork network(region());
  deliverToAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  const std::size_t before = network.receivedBytes(0);
  network.setPlatformAnswerArriving(0, true);
  for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
    network.deliverFromPlatform(daemon,
                                SlowNetwork::configuration(21, largeBytes));
  network.runFor(milliseconds(900));
  EXPECT_LT(network.receivedBytes(0) - before, largeBytes / 10);
}

/// Guards against transfers that never complete because a newer version appears
/// every 400 ms.
TEST(ConfigurationDistribution, KeepsUpWithFrequentConfigurations)
{
  SlowNetwork network(region());
  deliverToAll(network, SlowNetwork::configuration(17, smallBytes));
  network.runFor(seconds(1));
  std::uint64_t version = 20;
  for (; version < 30; ++version) {
    for (std::size_t daemon = 1; daemon < region().daemons; ++daemon)
      network.deliverFromPlatform(
        daemon, SlowNetwork::configuration(version, largeBytes));
    network.runFor(milliseconds(400));
  }
  EXPECT_GT(network.versionAt(0), 21u)
    << "a newer version doesn't abort the transfer of the version before";
  network.runFor(applyTime);
  EXPECT_EQ(network.versionAt(0), version - 1);
}

} // namespace
} // namespace cowslippin::testing
