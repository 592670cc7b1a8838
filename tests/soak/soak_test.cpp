#include "freeports.h"
#include "soak.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <filesystem>
#include <unistd.h>

namespace cowslippin::testing {
namespace {

TEST(ChildProcess, InheritsNothingButItsStandardStreams)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor open(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  ChildProcess child(
    { "/bin/sh", "-c", "echo open: $(ls /proc/self/fd | tr '\\n' ' ')" });
  // The fourth is the folder that ls reads.
  EXPECT_EQ(child.waitForLine("open: "), "open: 0 1 2 3");
}

void
checkPromises(Soak::Settings settings, std::uint64_t seed)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("cowslippin-soak-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  settings.program = DAEMON_PROGRAM;
  settings.folder = folder;
  settings.firstPort = freePortRange();
  Soak soak(settings, seed);
  const Soak::Report report =
    soak.run(std::chrono::seconds(8), std::chrono::seconds(4));
  std::filesystem::remove_all(folder);
  for (const std::string& violation : report.violations)
    ADD_FAILURE() << violation;
  EXPECT_GT(report.completed, 0u);
  EXPECT_GT(report.calmCompleted, report.calmSubmitted / 2);
}

class SoakSeed : public ::testing::TestWithParam<int>
{};

TEST_P(SoakSeed, KeepsEveryPromiseAndServesAgainAfterIt)
{
  checkPromises({}, static_cast<std::uint64_t>(GetParam()));
}

TEST(Soak, RunsNoTaskTwiceWhenOrdersAndCancelsAreLateWithoutSilence)
{
  Soak::Settings settings;
  settings.strikesLinks = false;
  settings.strikesAtRandom = false;
  settings.onlyKind = Soak::growingDelayEverywhere;
  checkPromises(settings, 406);
}

TEST(Soak, RunsNoTaskTwiceWhenDaemonsLearnLateThatTheirCallersAreGone)
{
  Soak::Settings settings;
  settings.strikesLinks = false;
  settings.strikesAtRandom = false;
  settings.onlyKind = Soak::lateReset;
  settings.strikeRate = 3;
  checkPromises(settings, 38);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakSeed, ::testing::Values(1, 2));

} // namespace
} // namespace cowslippin::testing
