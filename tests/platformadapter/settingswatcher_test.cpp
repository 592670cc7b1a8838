#include "platform/settingswatcher.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace cowslippin::testing {
namespace {

using namespace platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string
settingsFile(const std::string& grace, const std::string& zone = "z1")
{
  return R"({"node_name": "edge-1", "ip": "10.1.0.13", "zone": ")" + zone +
         R"(", "internal_ports": [7720, 7735], "seeds": ["10.2.0.30:8166"],
    "listen_addrs": {"frontend": "10.1.0.13:8161",
                     "readiness": "10.1.0.13:8167"},
    "platform": {"address": "10.200.1.7:8169"},
    "bounds": {"grace_s": )" +
         grace + "}}";
}

/// A settings file in memory that is watched.
class SettingsWatchTest : public ::testing::Test
{
protected:
  SettingsWatch::Hooks hooks()
  {
    SettingsWatch::Hooks hooks;
    hooks.readFile = [this]() -> Result<std::string> {
      ++reads;
      if (!file)
        return failure(Problem::invalidField("file", "", "can be read"));
      return *file;
    };
    hooks.changed = [this](const PlatformSettings& settings) {
      graces.push_back(settings.daemon.core.grace);
    };
    return hooks;
  }

  std::optional<std::string> file = settingsFile("6");
  std::vector<Duration> graces;
  unsigned reads = 0;
  SettingsWatch watch{ *readPlatformSettings(*file), *file, hooks() };
  TimePoint now{ seconds(100) };
};

TEST_F(SettingsWatchTest, AFileThatIsAsBeforeChangesNothing)
{
  watch.check();
  EXPECT_TRUE(graces.empty());
}

TEST_F(SettingsWatchTest, AChangeIsSeenWithinASecondWithoutASignal)
{
  watch.tick(now);
  file = settingsFile("3");
  watch.tick(now + milliseconds(500));
  EXPECT_TRUE(graces.empty());
  watch.tick(now + milliseconds(1000));
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(3) });
  EXPECT_EQ(reads, 2u);
}

TEST_F(SettingsWatchTest, ASignalHasTheFileReadAtOnce)
{
  file = settingsFile("3");
  watch.check();
  watch.check();
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(3) });
}

TEST_F(SettingsWatchTest, AFileThatIsWrongChangesNothingUntilItIsMended)
{
  for (const char* wrong : { "-1", "\"soon\"", "[" }) {
    file = settingsFile(wrong);
    watch.check();
  }
  file.reset();
  watch.check();
  EXPECT_TRUE(graces.empty());
  file = settingsFile("4");
  watch.check();
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(4) });
}

TEST_F(SettingsWatchTest, WhatCantBeChangedIsNamedAndTheRestIsPutInForce)
{
  file = settingsFile("4", "z2");
  const auto fixed = changedFixedSettings(
    *readPlatformSettings(settingsFile("6")), *readPlatformSettings(*file));
  ASSERT_EQ(fixed.size(), 1u);
  EXPECT_EQ(fixed[0].field, "zone");
  EXPECT_EQ(fixed[0].inForce, "z1");
  EXPECT_EQ(fixed[0].inFile, "z2");
  watch.check();
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(4) });
}

} // namespace
} // namespace cowslippin::testing
