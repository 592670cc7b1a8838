#include "libentry/configurationfetch.h"
#include "libentry/configurationsource.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

/// A daemon in zone z0 that has version 17, and others that tell of 21.
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

  void told(const char* vm, const char* zone, std::uint64_t version)
  {
    fetch.told(VmId(vm), ZoneName(zone), version);
  }

  void pass(Duration duration) { now += duration; }

  /// Lets the platform's head start go by.
  void passHeadStart()
  {
    EXPECT_FALSE(fetch.next(now, false));
    pass(settings().headStart);
  }

  std::optional<ConfigurationFetch::Request> next()
  {
    return fetch.next(now, false);
  }

  std::optional<std::string> part(const VmId& vm,
                                  std::uint64_t version,
                                  std::uint64_t offset,
                                  const std::string& bytes,
                                  std::uint64_t size = 10)
  {
    return fetch.received(vm, { version, size, offset, bytes }, now);
  }

  ConfigurationFetch fetch;
  TimePoint now{ std::chrono::seconds(1000) };
};

TEST_F(ConfigurationFetchTest, LeavesThePlatformItsHeadStart)
{
  told("a", "z0", 21);
  EXPECT_FALSE(next());
  pass(settings().headStart - milliseconds(1));
  EXPECT_FALSE(next());
  pass(milliseconds(1));
  EXPECT_TRUE(next());
}

TEST_F(ConfigurationFetchTest, LeavesThePlatformLongerWhileItsAnswerComes)
{
  told("a", "z0", 21);
  EXPECT_FALSE(fetch.next(now, true));
  pass(settings().arrivalTime - milliseconds(1));
  EXPECT_FALSE(fetch.next(now, true));
  pass(milliseconds(1));
  EXPECT_TRUE(fetch.next(now, true));
}

TEST_F(ConfigurationFetchTest, AsksNobodyForWhatIsInForce)
{
  told("a", "z0", 17);
  told("b", "z0", 14);
  passHeadStart();
  EXPECT_FALSE(next());
  EXPECT_EQ(fetch.newest(), 17u);
}

TEST_F(ConfigurationFetchTest, AsksOneDaemonAtATimeAndOneOfItsZoneFirst)
{
  told("a", "z1", 21);
  told("b", "z0", 21);
  told("c", "z1", 21);
  passHeadStart();
  EXPECT_EQ(next()->vm, VmId("b"));
  EXPECT_FALSE(next()) << "a part is under way";
}

TEST_F(ConfigurationFetchTest, GoesOnAtOnceUntilItHasTheWhole)
{
  told("a", "z0", 21);
  passHeadStart();
  EXPECT_EQ(next()->message.offset, 0u);
  EXPECT_FALSE(part(VmId("a"), 21, 0, "0123"));
  const auto second = next();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->message.version, 21u);
  EXPECT_EQ(second->message.offset, 4u);
  EXPECT_FALSE(part(VmId("a"), 21, 0, "0123")) << "the same part again";
  EXPECT_EQ(part(VmId("a"), 21, 4, "456789"), "0123456789");
}

TEST_F(ConfigurationFetchTest, GoesOnWithAnotherDaemonWhereOneIsLost)
{
  told("a", "z0", 21);
  told("b", "z1", 21);
  passHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  part(VmId("a"), 21, 0, "0123");
  next();
  fetch.lost(VmId("a"));
  const auto other = next();
  ASSERT_TRUE(other);
  EXPECT_EQ(other->vm, VmId("b"));
  EXPECT_EQ(other->message.offset, 4u);
}

TEST_F(ConfigurationFetchTest, AsksAnotherWhereOneGivesNoAnswer)
{
  told("a", "z0", 21);
  told("b", "z1", 21);
  passHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  pass(settings().answerTime);
  EXPECT_EQ(next()->vm, VmId("b"));
}

TEST_F(ConfigurationFetchTest, AsksAnotherWhereOneIsBusyAndThatOneLaterAgain)
{
  told("a", "z0", 21);
  told("b", "z1", 21);
  passHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  fetch.busy(VmId("a"), now);
  ASSERT_EQ(next()->vm, VmId("b"));
  fetch.busy(VmId("b"), now);
  EXPECT_FALSE(next());
  pass(settings().busyPause);
  EXPECT_EQ(next()->vm, VmId("a"));
}

TEST_F(ConfigurationFetchTest, KeepsTheSourceThatHasANewerVersionMeanwhile)
{
  told("a", "z0", 21);
  passHeadStart();
  next();
  part(VmId("a"), 21, 0, "0123");
  told("a", "z0", 23);
  told("b", "z0", 23);
  const auto request = next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->vm, VmId("a"));
  EXPECT_EQ(request->message.version, 21u);
}

TEST_F(ConfigurationFetchTest, BeginsAnewWhereNobodyHasTheVersionAnyMore)
{
  told("a", "z0", 23);
  told("b", "z0", 21);
  passHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  part(VmId("a"), 23, 0, "0123");
  fetch.lost(VmId("a"));
  const auto request = next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->vm, VmId("b"));
  EXPECT_EQ(request->message.version, 0u);
  EXPECT_EQ(part(VmId("b"), 21, 0, "0123456789"), "0123456789");
}

TEST_F(ConfigurationFetchTest, DropsWhatThePlatformHasBroughtMeanwhile)
{
  told("a", "z0", 21);
  passHeadStart();
  next();
  part(VmId("a"), 21, 0, "0123");
  fetch.setInForce(21, true);
  EXPECT_FALSE(next());
  EXPECT_FALSE(part(VmId("a"), 21, 4, "456789"));
}

TEST_F(ConfigurationFetchTest, WaitsAfterAConfigurationThatCouldNotBeRead)
{
  told("a", "z0", 21);
  passHeadStart();
  next();
  ASSERT_TRUE(part(VmId("a"), 21, 0, "0123456789"));
  fetch.refused(now);
  EXPECT_FALSE(next());
  pass(settings().refusedPause);
  EXPECT_TRUE(next());
}

TEST_F(ConfigurationFetchTest, ThePartsLengthFollowsTheTimeOneTakes)
{
  told("a", "z0", 21);
  passHeadStart();
  const std::uint64_t first = next()->message.maxBytes;
  pass(milliseconds(5));
  part(VmId("a"), 21, 0, "0");
  EXPECT_EQ(next()->message.maxBytes, 2 * first);
  pass(milliseconds(50));
  part(VmId("a"), 21, 1, "1");
  EXPECT_EQ(next()->message.maxBytes, 2 * first);
  pass(milliseconds(200));
  part(VmId("a"), 21, 2, "2");
  EXPECT_EQ(next()->message.maxBytes, first);
}

TEST_F(ConfigurationFetchTest,
       BeginsAnewWhereTwoDaemonsDifferInTheSizeOfAVersion)
{
  told("a", "z0", 21);
  told("b", "z1", 21);
  passHeadStart();
  ASSERT_EQ(next()->vm, VmId("a"));
  part(VmId("a"), 21, 0, "0123");
  fetch.lost(VmId("a"));
  ASSERT_EQ(next()->vm, VmId("b"));
  EXPECT_FALSE(part(VmId("b"), 21, 4, "4567", 8));
  EXPECT_FALSE(next());
  pass(settings().silentPause);
  const auto request = next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->message.offset, 0u);
}

struct BadPart
{
  const char* name;
  PeerConfigPart part;
};

class BadConfigurationPart
  : public ConfigurationFetchTest
  , public ::testing::WithParamInterface<BadPart>
{};

TEST_P(BadConfigurationPart, IsNotTaken)
{
  told("a", "z0", 21);
  passHeadStart();
  next();
  EXPECT_FALSE(fetch.received(VmId("a"), GetParam().part, now));
  EXPECT_FALSE(next()) << "asked again at once, two daemons would do nothing "
                          "else";
  pass(settings().silentPause);
  EXPECT_EQ(next()->message.offset, 0u);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  BadConfigurationPart,
  ::testing::Values(BadPart{ "Empty", { 21, 10, 0, "" } },
                    BadPart{ "LongerThanTheWhole", { 21, 2, 0, "0123" } },
                    BadPart{ "BeyondTheWhole", { 21, 10, 11, "0" } },
                    BadPart{ "LargerThanAllowed",
                             { 21, std::uint64_t(1) << 62, 0, "0" } },
                    BadPart{ "Older", { 17, 4, 0, "0123" } },
                    BadPart{ "NotTheFirst", { 21, 10, 4, "4567" } }),
  [](const auto& info) { return std::string(info.param.name); });

class ConfigurationSourceTest : public ::testing::Test
{
protected:
  ConfigurationSourceTest()
    : source(ConfigurationSource::Settings())
  {
    source.setInForce(21, std::string(3000, 'a'));
  }

  PeerMessage ask(const char* vm,
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
  const auto first = std::get<PeerConfigPart>(ask("a"));
  EXPECT_EQ(first.version, 21u);
  EXPECT_EQ(first.size, 3000u);
  EXPECT_EQ(first.offset, 0u);
  EXPECT_EQ(first.bytes.size(), 2000u);
  const auto second = std::get<PeerConfigPart>(ask("a", 21, 2000));
  EXPECT_EQ(second.offset, 2000u);
  EXPECT_EQ(second.bytes.size(), 1000u);
}

TEST_F(ConfigurationSourceTest, ServesTwoAtATimeUntilTheyHaveAllOrAreGone)
{
  ask("a");
  ask("b");
  EXPECT_TRUE(isBusy(ask("c")));
  ask("a", 21, 2000);
  EXPECT_FALSE(isBusy(ask("c"))) << "a has all";
  EXPECT_TRUE(isBusy(ask("d")));
  source.lost(VmId("b"));
  EXPECT_FALSE(isBusy(ask("d")));
  EXPECT_TRUE(isBusy(ask("e")));
  now += milliseconds(601);
  EXPECT_FALSE(isBusy(ask("e"))) << "c and d have asked for nothing";
}

TEST_F(ConfigurationSourceTest, EndsWithTheVersionThatItBeganWith)
{
  ask("a");
  source.setInForce(23, std::string(3000, 'b'));
  const auto rest = std::get<PeerConfigPart>(ask("a", 21, 2000));
  EXPECT_EQ(rest.version, 21u);
  EXPECT_EQ(rest.bytes, std::string(1000, 'a'));
  const auto next = std::get<PeerConfigPart>(ask("a"));
  EXPECT_EQ(next.version, 23u);
}

TEST_F(ConfigurationSourceTest, GoesOnWhereAnotherHasStopped)
{
  const auto part = std::get<PeerConfigPart>(ask("a", 21, 2000));
  EXPECT_EQ(part.offset, 2000u);
}

TEST_F(ConfigurationSourceTest, BeginsAtTheStartOfAnotherVersion)
{
  const auto part = std::get<PeerConfigPart>(ask("a", 19, 2000));
  EXPECT_EQ(part.version, 21u);
  EXPECT_EQ(part.offset, 0u);
}

TEST_F(ConfigurationSourceTest, HasNothingToSendBeforeItsFirstConfiguration)
{
  ConfigurationSource empty{ ConfigurationSource::Settings() };
  EXPECT_TRUE(isBusy(empty.answer(VmId("a"), { 0, 0, 2000 }, now)));
}

} // namespace
} // namespace cowslippin::testing
