#include "libsettings/settings.h"

#include <gtest/gtest.h>

#include <set>

namespace cowslippin {
namespace {

using Strings = std::vector<std::string>;

const Strings requiredFlags = { "--vm-id", "vm-1",       "--zone",
                                "z1",      "--platform", "127.0.0.1:7000" };

Strings
withRequired(const Strings& more)
{
  Strings all = requiredFlags;
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

DaemonSettings
readGood(const Strings& arguments, const Strings& environment = {})
{
  const SettingsOutcome outcome = readDaemonSettings(arguments, environment);
  if (const auto* problems = std::get_if<SettingsProblems>(&outcome)) {
    for (const Problem& problem : *problems) {
      ADD_FAILURE() << problem.detail();
    }
  }
  return std::get<DaemonSettings>(outcome);
}

SettingsProblems
readBad(const Strings& arguments, const Strings& environment = {})
{
  return std::get<SettingsProblems>(readDaemonSettings(arguments, environment));
}

std::multiset<std::string>
fieldsOf(const SettingsProblems& problems)
{
  std::multiset<std::string> fields;
  for (const Problem& problem : problems) {
    fields.insert(problem.field());
  }
  return fields;
}

TEST(SettingsReader, RequiredSettingsAloneGiveTheDefaults)
{
  const DaemonSettings settings = readGood(requiredFlags);
  EXPECT_EQ(settings.vmId(), VmId("vm-1"));
  EXPECT_EQ(settings.zone(), ZoneName("z1"));
  EXPECT_EQ(settings.region(), RegionName("default"));
  EXPECT_EQ(settings.platform(), Address("127.0.0.1", 7000));
  EXPECT_EQ(settings.httpListen(), Address("127.0.0.1", 7400));
  EXPECT_EQ(settings.peerListen(), Address("127.0.0.1", 7401));
  EXPECT_EQ(settings.advertisedHttpAddress(), settings.httpListen());
  EXPECT_EQ(settings.advertisedPeerAddress(), settings.peerListen());
  EXPECT_EQ(settings.logLevel(), LogLevel::Info);
}

TEST(SettingsReader, EverySettingReachesItsOwnField)
{
  const DaemonSettings settings =
    readGood(withRequired({ "--region=south",
                            "--http-listen=0.0.0.0:1",
                            "--peer-listen=[::1]:2",
                            "--advertised-http-address=10.0.0.1:3",
                            "--advertised-peer-address=10.0.0.1:4",
                            "--log-level=debug",
                            "--max-http-threads=11",
                            "--max-body-bytes=12000",
                            "--claim-window=13",
                            "--max-live-claims=1400",
                            "--log-retention=1500",
                            "--appends-per-second=1.5",
                            "--region-appends-per-second=2.5",
                            "--heartbeat-interval-ms=16",
                            "--peer-silence-ms=170",
                            "--endpoint-connect-timeout-ms=18",
                            "--crossing-penalty-ms=19",
                            "--drain-grace-ms=20",
                            "--max-queued-tasks=2100",
                            "--vm-list-interval-ms=220",
                            "--config-snapshot-interval-ms=230" }));
  DaemonSettings::Fields expected;
  expected.vmId = VmId("vm-1");
  expected.zone = ZoneName("z1");
  expected.region = RegionName("south");
  expected.platform = Address("127.0.0.1", 7000);
  expected.httpListen = Address("0.0.0.0", 1);
  expected.peerListen = Address("::1", 2);
  expected.advertisedHttpAddress = Address("10.0.0.1", 3);
  expected.advertisedPeerAddress = Address("10.0.0.1", 4);
  expected.logLevel = LogLevel::Debug;
  expected.maxHttpThreads = 11;
  expected.maxBodyBytes = 12000;
  expected.claimWindow = std::chrono::seconds(13);
  expected.maxLiveClaims = 1400;
  expected.logRetention = std::chrono::seconds(1500);
  expected.appendsPerSecond = 1.5;
  expected.regionAppendsPerSecond = 2.5;
  expected.heartbeatInterval = std::chrono::milliseconds(16);
  expected.peerSilence = std::chrono::milliseconds(170);
  expected.endpointConnectTimeout = std::chrono::milliseconds(18);
  expected.crossingPenalty = std::chrono::milliseconds(19);
  expected.drainGrace = std::chrono::milliseconds(20);
  expected.maxQueuedTasks = 2100;
  expected.vmListInterval = std::chrono::milliseconds(220);
  expected.configSnapshotInterval = std::chrono::milliseconds(230);
  EXPECT_EQ(settings, DaemonSettings(expected));
}

TEST(SettingsReader, AFlagGoesBeforeItsVariable)
{
  const Strings environment = { "COWSLIPPIN_ZONE=z9", "COWSLIPPIN_REGION=r9" };
  const DaemonSettings settings = readGood(requiredFlags, environment);
  EXPECT_EQ(settings.zone(), ZoneName("z1"));
  EXPECT_EQ(settings.region(), RegionName("r9"));
}

TEST(SettingsReader, ABadVariableBehindAFlagIsNotUsed)
{
  EXPECT_EQ(readGood(requiredFlags, { "COWSLIPPIN_ZONE=not a name" }).zone(),
            ZoneName("z1"));
}

TEST(SettingsReader, OtherVariablesAreNotLookedAt)
{
  readGood(requiredFlags,
           { "PATH=/bin", "COWSLIPPIN_DAEMON=127.0.0.1:7400", "COWSLIP=1" });
}

TEST(SettingsReader, ReportsEveryProblemAtOnce)
{
  const SettingsProblems problems =
    readBad({ "--zone",
              "two words",
              "--http-listen",
              "localhost:80",
              "--shout",
              "--log-level" },
            { "COWSLIPPIN_MAX_LIVE_CLAIMS=many", "COWSLIPPIN_COLOUR=red" });
  const std::multiset<std::string> expected = { "--zone",
                                                "--http-listen",
                                                "--shout",
                                                "--log-level",
                                                "--vm-id",
                                                "--platform",
                                                "COWSLIPPIN_MAX_LIVE_CLAIMS",
                                                "COWSLIPPIN_COLOUR" };
  EXPECT_EQ(fieldsOf(problems), expected);
}

TEST(SettingsReader, AProblemNamesTheValueAndWhatIsAllowed)
{
  const SettingsProblems expected = { Problem::invalidField(
    "--max-body-bytes", "-5", "a whole number from 1024 to 268435456") };
  EXPECT_EQ(readBad(withRequired({ "--max-body-bytes", "-5" })), expected);
}

TEST(SettingsReader, HelpNamesEverySettingAndWinsOverProblems)
{
  const SettingsOutcome outcome =
    readDaemonSettings({ "--zone", "two words", "--help" }, {});
  const std::string text = std::get<HelpText>(outcome).text();
  for (const char* part : { "--vm-id",
                            "--vm-list-interval-ms",
                            "(required)",
                            "(default 127.0.0.1:7400)",
                            "COWSLIPPIN_" }) {
    EXPECT_NE(text.find(part), std::string::npos) << part;
  }
}

struct BadFlags
{
  const char* name;
  Strings flags;
  std::multiset<std::string> fields;
};

class BadSettings : public testing::TestWithParam<BadFlags>
{};

TEST_P(BadSettings, AreRefusedByName)
{
  EXPECT_EQ(fieldsOf(readBad(withRequired(GetParam().flags))),
            GetParam().fields);
}

const BadFlags badFlags[] = {
  { "NotANumber", { "--max-live-claims=1e5" }, { "--max-live-claims" } },
  { "NumberWithTail", { "--claim-window=60s" }, { "--claim-window" } },
  { "NumberTooSmall", { "--claim-window=9" }, { "--claim-window" } },
  { "NumberTooLarge", { "--claim-window=86401" }, { "--claim-window" } },
  { "NumberOverflow",
    { "--max-body-bytes=99999999999999999999" },
    { "--max-body-bytes" } },
  { "RealNotANumber",
    { "--appends-per-second=nan" },
    { "--appends-per-second" } },
  { "RealInfinite",
    { "--appends-per-second=inf" },
    { "--appends-per-second" } },
  { "RealZero", { "--appends-per-second=0" }, { "--appends-per-second" } },
  { "EmptyAdjacent", { "--region=" }, { "--region" } },
  { "EmptyNext", { "--region", "" }, { "--region" } },
  { "NameTooLong", { "--region=" + std::string(65, 'r') }, { "--region" } },
  { "NameOtherLetters", { "--region=m\xc3\xbchle" }, { "--region" } },
  { "HostName", { "--peer-listen=example:80" }, { "--peer-listen" } },
  { "PortTooLarge", { "--peer-listen=127.0.0.1:65536" }, { "--peer-listen" } },
  { "AdvertisedPortZero",
    { "--advertised-http-address=127.0.0.1:0" },
    { "--advertised-http-address" } },
  { "AdvertisedMissingForWildcard",
    { "--http-listen=0.0.0.0:7400" },
    { "--advertised-http-address" } },
  { "AdvertisedWildcard",
    { "--advertised-peer-address=[::]:7401" },
    { "--advertised-peer-address" } },
  { "SameListenAddress",
    { "--peer-listen=127.0.0.1:7400" },
    { "--peer-listen" } },
  { "LevelInCapitals", { "--log-level=INFO" }, { "--log-level" } },
  { "SilenceBelowTwoHeartbeats",
    { "--heartbeat-interval-ms=500", "--peer-silence-ms=999" },
    { "--peer-silence-ms" } },
  { "BadSilenceIsReportedOnce",
    { "--peer-silence-ms=x" },
    { "--peer-silence-ms" } },
  { "WindowAboveRetention",
    { "--claim-window=601",
      "--log-retention=600",
      "--config-snapshot-interval-ms=60000" },
    { "--claim-window" } },
  { "SnapshotsTooRareForRetention",
    { "--config-snapshot-interval-ms=300001", "--log-retention=600" },
    { "--config-snapshot-interval-ms" } },
  { "Repeated", { "--region=a", "--region=a" }, { "--region" } },
  { "StrayArgument", { "--region", "a", "b" }, { "b" } },
  { "AbbreviatedFlag", { "--regio=a" }, { "--regio=a" } },
  { "UnknownWithAValue", { "--shout", "loud" }, { "--shout", "loud" } },
  { "ShortFlag", { "-z", "z1" }, { "-z", "z1" } },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         BadSettings,
                         testing::ValuesIn(badFlags),
                         [](const auto& info) { return info.param.name; });

} // namespace
} // namespace cowslippin
