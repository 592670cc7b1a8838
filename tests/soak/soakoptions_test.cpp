#include "soakoptions.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

TEST(SoakOptions, AreTheSmallRigByDefault)
{
  const auto options = SoakOptions::parse({});
  ASSERT_TRUE(options);
  EXPECT_EQ(options->settings.zones, 2u);
  EXPECT_EQ(options->settings.daemonsPerZone, 2u);
  EXPECT_EQ(options->settings.workersPerZone, 4u);
  EXPECT_EQ(options->settings.jobsPerSecond, 10);
  EXPECT_TRUE(options->settings.mix.isEmpty());
  EXPECT_EQ(options->settings.strikeRate, 1);
  EXPECT_EQ(options->settings.onlyKind, -1);
  EXPECT_FALSE(options->settings.strikesCuts);
  EXPECT_FALSE(options->settings.strikesForeign);
  EXPECT_FALSE(options->settings.strikesOrders);
  EXPECT_FALSE(options->settings.strikesSeries);
  EXPECT_FALSE(options->settings.strikesResets);
  EXPECT_TRUE(options->settings.reportsBirths);
  EXPECT_EQ(options->settings.maxListingDelay, Duration::zero());
  EXPECT_FALSE(options->settings.retriesInZone);
  EXPECT_TRUE(options->settings.program.empty());
  EXPECT_EQ(options->settings.firstPort, 21000);
  EXPECT_EQ(options->seconds, 15u);
}

TEST(SoakOptions, TakeADeploymentsSize)
{
  const auto options = SoakOptions::parse({ "--zones=3",
                                            "--daemons-per-zone",
                                            "10",
                                            "--workers-per-zone=30",
                                            "--jobs-per-second=200",
                                            "--mix=8x60:206,4x900:37.5",
                                            "--spread=0.4",
                                            "--strike-rate=2.5",
                                            "--first-seed=7" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_EQ(options->settings.zones, 3u);
  EXPECT_EQ(options->settings.daemonsPerZone, 10u);
  EXPECT_EQ(options->settings.workersPerZone, 30u);
  EXPECT_EQ(options->settings.jobsPerSecond, 200);
  const std::vector<RequestKind> kinds{ { 8, 60, 206 }, { 4, 900, 37.5 } };
  EXPECT_EQ(options->settings.mix.kinds(), kinds);
  EXPECT_EQ(options->settings.spread, 0.4);
  EXPECT_EQ(options->settings.strikeRate, 2.5);
  EXPECT_EQ(options->firstSeed, 7u);
  EXPECT_EQ(Soak::portsOf(options->settings), 100u);
}

TEST(SoakOptions, TakeCutsOfGroups)
{
  const auto options = SoakOptions::parse(
    { "--strike-cuts=1", "--lost-ends=0.25", "--retry-in-zone=1" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_TRUE(options->settings.strikesCuts);
  EXPECT_EQ(options->settings.lostEnds, 0.25);
  EXPECT_TRUE(options->settings.retriesInZone);
}

TEST(SoakOptions, TakeWorkersWithoutBirthsAndStrikesOfOrdersInSeries)
{
  const auto options = SoakOptions::parse(
    { "--births=0", "--strike-orders=1", "--strike-series=1" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_FALSE(options->settings.reportsBirths);
  EXPECT_TRUE(options->settings.strikesOrders);
  EXPECT_TRUE(options->settings.strikesSeries);
}

TEST(SoakOptions, TakeResetsOfAllConnections)
{
  const auto options = SoakOptions::parse({ "--strike-resets=1" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_TRUE(options->settings.strikesResets);
}

TEST(SoakOptions, TakeAListingDelayInMilliseconds)
{
  const auto options = SoakOptions::parse({ "--listing-delay=30" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_EQ(options->settings.maxListingDelay, std::chrono::milliseconds(30));
}

TEST(SoakOptions, TakeForeignBytes)
{
  const auto options = SoakOptions::parse({ "--strike-foreign=1" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_TRUE(options->settings.strikesForeign);
}

TEST(SoakOptions, TakeAnotherDaemonProgram)
{
  const auto options = SoakOptions::parse({ "--program=/bin/sh" });
  ASSERT_TRUE(options) << options.error().detail();
  EXPECT_EQ(options->settings.program, "/bin/sh");
}

TEST(SoakOptions, RefuseOptionsThatAreNotKnown)
{
  const auto unknown = SoakOptions::parse({ "--zone-count=3" });
  ASSERT_FALSE(unknown);
  EXPECT_EQ(unknown.error().field(), "zone-count");
  EXPECT_FALSE(SoakOptions::parse({ "3" }));
  EXPECT_FALSE(SoakOptions::parse({ "--zones=3", "--zones=2" }));
}

struct Refused
{
  std::string field;
  std::string value;
};

class RefusedSoakOption : public ::testing::TestWithParam<Refused>
{};

TEST_P(RefusedSoakOption, IsToldWithFieldValueAndWhatIsAllowed)
{
  const auto& [field, value] = GetParam();
  const auto options = SoakOptions::parse({ "--" + field + "=" + value });
  ASSERT_FALSE(options);
  EXPECT_EQ(options.error().field(), field);
  EXPECT_EQ(options.error().value(), value);
  EXPECT_FALSE(options.error().allowed().empty());
}

INSTANTIATE_TEST_SUITE_P(Values,
                         RefusedSoakOption,
                         ::testing::Values(Refused{ "zones", "0" },
                                           Refused{ "zones", "-1" },
                                           Refused{ "zones", "two" },
                                           Refused{ "zones", "2.5" },
                                           Refused{ "daemons-per-zone", "" },
                                           Refused{ "daemons-per-zone", "126" },
                                           Refused{ "workers-per-zone", "0" },
                                           Refused{ "jobs-per-second", "0" },
                                           Refused{ "jobs-per-second", "nan" },
                                           Refused{ "spread", "1.5" },
                                           Refused{ "strike-rate", "-1" },
                                           Refused{ "strike-rate", "1x" },
                                           Refused{ "strike-links", "yes" },
                                           Refused{ "strike-cuts", "2" },
                                           Refused{ "births", "2" },
                                           Refused{ "listing-delay", "-1" },
                                           Refused{ "listing-delay", "30ms" },
                                           Refused{ "listing-delay", "701" },
                                           Refused{ "strike-orders", "on" },
                                           Refused{ "strike-series", "" },
                                           Refused{ "strike-resets", "2" },
                                           Refused{ "lost-ends", "1.1" },
                                           Refused{ "lost-ends", "-0.1" },
                                           Refused{ "retry-in-zone", "" },
                                           Refused{ "program", "/none/such" },
                                           Refused{ "only-kind", "99" },
                                           Refused{ "first-port", "80" },
                                           Refused{ "first-port", "32760" },
                                           Refused{ "seeds", "0" },
                                           Refused{ "seconds", "0" },
                                           Refused{ "log-folder",
                                                    "/none/such" },
                                           Refused{ "mix", "8x60" },
                                           Refused{ "mix", "0x60:1" },
                                           Refused{ "mix", "8x0:1" },
                                           Refused{ "mix", "8x60:0" },
                                           Refused{ "mix", "8x60:1;4x9:1" }));

TEST(RequestMix, GivesEachKindItsShare)
{
  const RequestMix mix({ { 8, 60, 1 }, { 4, 900, 3 } });
  EXPECT_EQ(mix.at(0).taskMs, 60u);
  EXPECT_EQ(mix.at(0.24).taskMs, 60u);
  EXPECT_EQ(mix.at(0.26).taskMs, 900u);
  EXPECT_EQ(mix.at(0.999).taskMs, 900u);
}

} // namespace
} // namespace cowslippin::testing
