#include "soak.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <filesystem>
#include <unistd.h>

namespace cowslippin::testing {
namespace {

/// A port from which a range is very likely free.
std::uint16_t
freePort()
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return static_cast<std::uint16_t>(20000 +
                                    acceptor.local_endpoint().port() % 10000);
}

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

class SoakSeed : public ::testing::TestWithParam<int>
{};

TEST_P(SoakSeed, KeepsEveryPromiseAndServesAgainAfterIt)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("cowslippin-soak-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  Soak::Settings settings;
  settings.program = DAEMON_PROGRAM;
  settings.folder = folder;
  settings.firstPort = freePort();
  Soak soak(settings, static_cast<std::uint64_t>(GetParam()));
  const Soak::Report report =
    soak.run(std::chrono::seconds(8), std::chrono::seconds(4));
  std::filesystem::remove_all(folder);
  for (const std::string& violation : report.violations)
    ADD_FAILURE() << violation;
  EXPECT_GT(report.completed, 0u);
  EXPECT_GT(report.calmCompleted, report.calmSubmitted / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakSeed, ::testing::Values(1, 2));

} // namespace
} // namespace cowslippin::testing
