#include "platform/program/checkoptions.h"

#include <gtest/gtest.h>

#include <vector>

namespace cowslippin::testing {
namespace {

Result<CheckOptions>
read(std::vector<const char*> arguments)
{
  arguments.insert(arguments.begin(),
                   { "cowslippind-platform", "check-configuration" });
  return readCheckOptions(static_cast<int>(arguments.size()), arguments.data());
}

/// Guards against a daemon that starts when a check is wanted, or the reverse.
TEST(CheckOptions, TheCommandIsTheFirstArgument)
{
  const std::vector<const char*> arguments{ "cowslippind-platform",
                                            "check-configuration",
                                            "--help" };
  EXPECT_TRUE(isCheckRequested(3, arguments.data()));
  EXPECT_FALSE(isCheckRequested(1, arguments.data()));
  EXPECT_FALSE(isCheckRequested(2, arguments.data() + 1));
}

TEST(CheckOptions, AreReadInAnyOrder)
{
  const auto alone = read({ "next.json" });
  ASSERT_TRUE(alone) << alone.error().detail();
  EXPECT_EQ(alone->request.file, "next.json");
  EXPECT_FALSE(alone->request.inForceFile);
  EXPECT_FALSE(alone->request.isJson);
  const auto all = read({ "--json", "--in-force", "now.json", "next.json" });
  ASSERT_TRUE(all) << all.error().detail();
  EXPECT_EQ(all->request.file, "next.json");
  EXPECT_EQ(all->request.inForceFile, "now.json");
  EXPECT_TRUE(all->request.isJson);
}

TEST(CheckOptions, HelpNeedsNoFile)
{
  const auto options = read({ "--help" });
  ASSERT_TRUE(options);
  EXPECT_TRUE(options->isHelpRequested);
  for (const char* argument : { "FILE", "--in-force", "--json" })
    EXPECT_NE(checkHelpText().find(argument), std::string::npos);
}

/// Guards against arguments that are ignored, so that something else is checked
/// than was meant.
TEST(CheckOptions, WrongArgumentsAreRefused)
{
  EXPECT_FALSE(read({}));
  EXPECT_FALSE(read({ "--json" }));
  EXPECT_FALSE(read({ "next.json", "now.json" }));
  EXPECT_FALSE(read({ "next.json", "--in-force" }));
  EXPECT_FALSE(read({ "next.json", "--output", "x" }));
  EXPECT_FALSE(read({ "a", "--in-force", "b", "--in-force", "c" }));
}

} // namespace
} // namespace cowslippin::testing
