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

/// Watches a settings file in memory.
class SettingsWatcherTest : public ::testing::Test
{
protected:
  SettingsWatcher::Hooks hooks()
  {
    SettingsWatcher::Hooks hooks;
    hooks.readFile = [this]() -> Result<std::string> {
      ++reads;
      if (!file)
        return failure(Problem::invalidField("file", "", "can be read"));
      return *file;
    };
    hooks.onChanged = [this](const PlatformSettings& settings) {
      graces.push_back(settings.daemon.core.shutdownGrace);
    };
    return hooks;
  }

  std::optional<std::string> file = settingsFile("6");
  std::vector<Duration> graces;
  unsigned reads = 0;
  SettingsWatcher watcher{ *readPlatformSettings(*file), *file, hooks() };
  TimePoint now{ seconds(100) };
};

TEST_F(SettingsWatcherTest, AnUnchangedFileChangesNothing)
{
  watcher.reload();
  EXPECT_TRUE(graces.empty());
}

TEST_F(SettingsWatcherTest, AChangeWithoutASignalIsAppliedWithinASecond)
{
  watcher.tick(now);
  file = settingsFile("3");
  watcher.tick(now + milliseconds(500));
  EXPECT_TRUE(graces.empty());
  watcher.tick(now + milliseconds(1000));
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(3) });
  EXPECT_EQ(reads, 2u);
}

TEST_F(SettingsWatcherTest, ReloadReadsTheFileAtOnce)
{
  file = settingsFile("3");
  watcher.reload();
  watcher.reload();
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(3) });
}

TEST_F(SettingsWatcherTest, AnInvalidFileChangesNothingUntilItIsCorrected)
{
  for (const char* wrong : { "-1", "\"soon\"", "[" }) {
    file = settingsFile(wrong);
    watcher.reload();
  }
  file.reset();
  watcher.reload();
  EXPECT_TRUE(graces.empty());
  file = settingsFile("4");
  watcher.reload();
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(4) });
}

TEST_F(SettingsWatcherTest, RestartOnlySettingsAreReportedAndTheRestIsApplied)
{
  file = settingsFile("4", "z2");
  const auto restartOnly = changedRestartOnlySettings(
    *readPlatformSettings(settingsFile("6")), *readPlatformSettings(*file));
  ASSERT_EQ(restartOnly.size(), 1u);
  EXPECT_EQ(restartOnly[0].field, "zone");
  EXPECT_EQ(restartOnly[0].activeValue, "z1");
  EXPECT_EQ(restartOnly[0].fileValue, "z2");
  watcher.reload();
  EXPECT_EQ(graces, std::vector<Duration>{ seconds(4) });
}

} // namespace
} // namespace cowslippin::testing
