#include "libentry/configurationfetch.h"
#include "libentry/configurationsource.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// A daemon in zone z0 with version 17 in force, and peers that advertise
/// version 21.
class ConfigurationFetchTest : public ::testing::Test
{
protected:
  ConfigurationFetchTest()
    : fetch(settings())
  {
    fetch.setInForce(17, true);
  }

  static ConfigurationFetch::Settings settings()
  {
    ConfigurationFetch::Settings settings;
    settings.self = VmId("self");
    settings.zone = ZoneName("z0");
    return settings;
  }

  void advertise(const char* vm, const char* zone, std::uint64_t version)
  {
    fetch.versionAdvertised(VmId(vm), ZoneName(zone), version);
  }

  void advance(Duration duration) { now += duration; }

  /// Advances the clock by the time that the daemon waits for the platform
  /// before it asks a peer.
  void waitForHeadStart()
  {
    EXPECT_FALSE(fetch.nextRequest(now, false));
    advance(settings().platformWait);
  }

  std::optional<ConfigurationFetch::Request> next()
  {
    return fetch.nextRequest(now, false);
  }

  std::optional<std::string> receivePart(const VmId& vm,
                                         std::uint64_t version,
                                         std::uint64_t offset,
                                         const std::string& bytes,
                                         std::uint64_t size = 10)
  {
    return fetch.partReceived(vm, { version, size, offset, bytes }, now);
  }

  ConfigurationFetch fetch;
  TimePoint now{ std::chrono::seconds(1000) };
};

TEST_F(ConfigurationFetchTest, WaitsForThePlatformBeforeItAsksAPeer)
{
  advertise("a", "z0", 21);
  EXPECT_FALSE(next());
  advance(settings().platformWait - milliseconds(1));
  EXPECT_FALSE(next());
  advance(milliseconds(1));
  EXPECT_TRUE(next());
}

TEST_F(ConfigurationFetchTest, WaitsLongerWhileThePlatformsAnswerArrives)
{
  advertise("a", "z0", 21);
  EXPECT_FALSE(fetch.nextRequest(now, true));
  advance(settings().arrivalTimeout - milliseconds(1));
  EXPECT_FALSE(fetch.nextRequest(now, true));
  advance(milliseconds(1));
  EXPECT_TRUE(fetch.nextRequest(now, true));
}

TEST_F(ConfigurationFetchTest, DoesNotRequestWhatIsInForce)
{
  advertise("a", "z0", 17);
  advertise("b", "z0", 14);
  waitForHeadStart();
  EXPECT_FALSE(next());
  EXPECT_EQ(fetch.newestVersion(), 17u);
}

TEST_F(ConfigurationFetchTest, AsksOneDaemonAtATimeAndOneOfItsZoneFirst)
{
  advertise("a", "z1", 21);
  advertise("b", "z0", 21);
  advertise("c", "z1", 21);
  waitForHeadStart();
  EXPECT_EQ(next()->vm, VmId("b"));
  EXPECT_FALSE(next()) << "the request for a part is in progress";
}

TEST_F(ConfigurationFetchTest, RequestsPartAfterPartUntilItHasAll)
{
  advertise("a", "z0", 21);
  waitForHeadStart();
  EXPECT_EQ(next()->message.offset, 0u);
  EXPECT_FALSE(receivePart(VmId("a"), 21, 0, "0123"));
  const auto second = next();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->message.version, 21u);
  EXPECT_EQ(second->message.offset, 4u);
  EXPECT_FALSE(receivePart(VmId("a"), 21, 0, "0123"))
    << "the same part arrives again";
  EXPECT_EQ(receivePart(VmId("a"), 21, 4, "456789"), "0123456789");
}

TEST_F(ConfigurationFetchTest, ResumesFromAnotherDaemonWhenOneIsLost)
{
  advertise("a", "z0", 21);
  advertise("b", "z1", 21);
  waitForHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  receivePart(VmId("a"), 21, 0, "0123");
  next();
  fetch.peerLost(VmId("a"));
  const auto other = next();
  ASSERT_TRUE(other);
  EXPECT_EQ(other->vm, VmId("b"));
  EXPECT_EQ(other->message.offset, 4u);
}

TEST_F(ConfigurationFetchTest, AsksAnotherDaemonWhenOneDoesNotAnswer)
{
  advertise("a", "z0", 21);
  advertise("b", "z1", 21);
  waitForHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  advance(settings().partTimeout);
  EXPECT_EQ(next()->vm, VmId("b"));
}

TEST_F(ConfigurationFetchTest,
       AsksAnotherDaemonWhenOneIsBusyAndRetriesTheBusyOneLater)
{
  advertise("a", "z0", 21);
  advertise("b", "z1", 21);
  waitForHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  fetch.peerBusy(VmId("a"), now);
  ASSERT_EQ(next()->vm, VmId("b"));
  fetch.peerBusy(VmId("b"), now);
  EXPECT_FALSE(next());
  advance(settings().busyBackoff);
  EXPECT_EQ(next()->vm, VmId("a"));
}

TEST_F(ConfigurationFetchTest,
       ContinuesTheTransferWhenTheSourceAdvertisesANewerVersion)
{
  advertise("a", "z0", 21);
  waitForHeadStart();
  next();
  receivePart(VmId("a"), 21, 0, "0123");
  advertise("a", "z0", 23);
  advertise("b", "z0", 23);
  const auto request = next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->vm, VmId("a"));
  EXPECT_EQ(request->message.version, 21u);
}

TEST_F(ConfigurationFetchTest, StartsOverWhenNoDaemonHasTheVersionAnyMore)
{
  advertise("a", "z0", 23);
  advertise("b", "z0", 21);
  waitForHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  receivePart(VmId("a"), 23, 0, "0123");
  fetch.peerLost(VmId("a"));
  const auto request = next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->vm, VmId("b"));
  EXPECT_EQ(request->message.version, 0u);
  EXPECT_EQ(receivePart(VmId("b"), 21, 0, "0123456789"), "0123456789");
}

TEST_F(ConfigurationFetchTest,
       DropsTheTransferWhenThePlatformDeliversTheVersion)
{
  advertise("a", "z0", 21);
  waitForHeadStart();
  next();
  receivePart(VmId("a"), 21, 0, "0123");
  fetch.setInForce(21, true);
  EXPECT_FALSE(next());
  EXPECT_FALSE(receivePart(VmId("a"), 21, 4, "456789"));
}

TEST_F(ConfigurationFetchTest, WaitsAfterAConfigurationThatCouldNotBeParsed)
{
  advertise("a", "z0", 21);
  waitForHeadStart();
  next();
  ASSERT_TRUE(receivePart(VmId("a"), 21, 0, "0123456789"));
  fetch.parseFailed(now);
  EXPECT_FALSE(next());
  advance(settings().parseFailureBackoff);
  EXPECT_TRUE(next());
}

TEST_F(ConfigurationFetchTest, AdaptsThePartSizeToTheTransferTime)
{
  advertise("a", "z0", 21);
  waitForHeadStart();
  const std::uint64_t first = next()->message.maxBytes;
  advance(milliseconds(5));
  receivePart(VmId("a"), 21, 0, "0");
  EXPECT_EQ(next()->message.maxBytes, 2 * first);
  advance(milliseconds(50));
  receivePart(VmId("a"), 21, 1, "1");
  EXPECT_EQ(next()->message.maxBytes, 2 * first);
  advance(milliseconds(200));
  receivePart(VmId("a"), 21, 2, "2");
  EXPECT_EQ(next()->message.maxBytes, first);
}

TEST_F(ConfigurationFetchTest,
       StartsOverWhenTwoDaemonsDifferInTheSizeOfAVersion)
{
  advertise("a", "z0", 21);
  advertise("b", "z1", 21);
  waitForHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  receivePart(VmId("a"), 21, 0, "0123");
  fetch.peerLost(VmId("a"));
  ASSERT_EQ(next()->vm, VmId("b"));
  EXPECT_FALSE(receivePart(VmId("b"), 21, 4, "4567", 8));
  EXPECT_FALSE(next());
  advance(settings().noAnswerBackoff);
  const auto request = next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->message.offset, 0u);
}

/// A part of a configuration that the receiver has to reject.
struct InvalidPart
{
  const char* name;
  PeerConfigPart part;
};

class InvalidConfigurationPart
  : public ConfigurationFetchTest
  , public ::testing::WithParamInterface<InvalidPart>
{};

TEST_P(InvalidConfigurationPart, IsRejected)
{
  advertise("a", "z0", 21);
  waitForHeadStart();
  next();
  EXPECT_FALSE(fetch.partReceived(VmId("a"), GetParam().part, now));
  EXPECT_FALSE(next()) << "if the peer were asked again at once, two daemons "
                          "would do nothing else";
  advance(settings().noAnswerBackoff);
  EXPECT_EQ(next()->message.offset, 0u);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  InvalidConfigurationPart,
  ::testing::Values(
    InvalidPart{ "Empty", { 21, 10, 0, "" } },
    InvalidPart{ "LongerThanTheConfiguration", { 21, 2, 0, "0123" } },
    InvalidPart{ "BeyondTheEnd", { 21, 10, 11, "0" } },
    InvalidPart{ "LargerThanAllowed", { 21, std::uint64_t(1) << 62, 0, "0" } },
    InvalidPart{ "Older", { 17, 4, 0, "0123" } },
    InvalidPart{ "NotTheFirst", { 21, 10, 4, "4567" } }),
  [](const auto& info) { return std::string(info.param.name); });

class ConfigurationSourceTest : public ::testing::Test
{
protected:
  ConfigurationSourceTest()
    : source(ConfigurationSource::Settings())
  {
    source.setInForce(21, std::string(3000, 'a'));
  }

  PeerMessage request(const char* vm,
                      std::uint64_t version = 0,
                      std::uint64_t offset = 0,
                      std::uint64_t maxBytes = 2000)
  {
    return source.answer(VmId(vm), { version, offset, maxBytes }, now);
  }

  static bool isBusy(const PeerMessage& message)
  {
    return std::holds_alternative<PeerConfigBusy>(message);
  }

  ConfigurationSource source;
  TimePoint now{ std::chrono::seconds(1000) };
};

TEST_F(ConfigurationSourceTest, SendsPartAfterPart)
{
  const auto first = std::get<PeerConfigPart>(request("a"));
  EXPECT_EQ(first.version, 21u);
  EXPECT_EQ(first.size, 3000u);
  EXPECT_EQ(first.offset, 0u);
  EXPECT_EQ(first.bytes.size(), 2000u);
  const auto second = std::get<PeerConfigPart>(request("a", 21, 2000));
  EXPECT_EQ(second.offset, 2000u);
  EXPECT_EQ(second.bytes.size(), 1000u);
}

TEST_F(ConfigurationSourceTest, ServesTwoReceiversAtATimeUntilTheyAreDoneOrLost)
{
  request("a");
  request("b");
  EXPECT_TRUE(isBusy(request("c")));
  request("a", 21, 2000);
  EXPECT_FALSE(isBusy(request("c"))) << "a has received everything";
  EXPECT_TRUE(isBusy(request("d")));
  source.peerLost(VmId("b"));
  EXPECT_FALSE(isBusy(request("d")));
  EXPECT_TRUE(isBusy(request("e")));
  now += milliseconds(601);
  EXPECT_FALSE(isBusy(request("e")))
    << "c and d have requested nothing for the idle limit";
}

TEST_F(ConfigurationSourceTest, CompletesATransferWithTheVersionItBeganWith)
{
  request("a");
  source.setInForce(23, std::string(3000, 'b'));
  const auto rest = std::get<PeerConfigPart>(request("a", 21, 2000));
  EXPECT_EQ(rest.version, 21u);
  EXPECT_EQ(rest.bytes, std::string(1000, 'a'));
  const auto next = std::get<PeerConfigPart>(request("a"));
  EXPECT_EQ(next.version, 23u);
}

TEST_F(ConfigurationSourceTest, ContinuesATransferThatAnotherSourceBegan)
{
  const auto part = std::get<PeerConfigPart>(request("a", 21, 2000));
  EXPECT_EQ(part.offset, 2000u);
}

TEST_F(ConfigurationSourceTest, StartsOverWhenAskedForAnotherVersion)
{
  const auto part = std::get<PeerConfigPart>(request("a", 19, 2000));
  EXPECT_EQ(part.version, 21u);
  EXPECT_EQ(part.offset, 0u);
}

TEST_F(ConfigurationSourceTest, IsBusyBeforeItsFirstConfiguration)
{
  ConfigurationSource empty{ ConfigurationSource::Settings() };
  EXPECT_TRUE(isBusy(empty.answer(VmId("a"), { 0, 0, 2000 }, now)));
}

} // namespace
} // namespace cowslippin::testing
