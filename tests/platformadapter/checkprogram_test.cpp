#include "support/childprocess.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace cowslippin::testing {
namespace {

/// Guards against a command that needs the settings or the platform of the
/// daemon.
TEST(CheckProgram, NeedsNoSettings)
{
  unsetenv("COWSLIPPIN_BOOT");
  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("checkprogram-" + std::to_string(getpid()));
  std::ofstream(path) << R"({"version":1,"routes":[{"name":"q","host":"h",
    "path_prefix":"/","backend":"b","max_attempts":0}]})";
  ChildProcess faulty({ DAEMON_PROGRAM, "check-configuration", path });
  EXPECT_NO_THROW(faulty.waitForLine("error: routes[0].max_attempts 0 "));
  EXPECT_EQ(faulty.wait().code, 1);
  std::filesystem::remove(path);
  ChildProcess unreadable({ DAEMON_PROGRAM, "check-configuration", path });
  EXPECT_EQ(unreadable.wait().code, 2);
}

TEST(CheckProgram, WrongArgumentsEndIt)
{
  ChildProcess withoutFile({ DAEMON_PROGRAM, "check-configuration" });
  EXPECT_EQ(withoutFile.wait().code, 2);
  ChildProcess help({ DAEMON_PROGRAM, "check-configuration", "--help" });
  EXPECT_EQ(help.wait().code, 0);
}

} // namespace
} // namespace cowslippin::testing
