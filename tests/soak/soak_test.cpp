#include "soak.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <filesystem>
#include <stdexcept>
#include <unistd.h>
#include <vector>

namespace cowslippin::testing {
namespace {

/// Ports that a soak of the usual size uses.
constexpr unsigned portsNeeded = 20;

bool
isRangeFree(unsigned firstPort)
{
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::acceptor> acceptors;
  try {
    for (unsigned i = 0; i < portsNeeded; ++i)
      acceptors.emplace_back(context,
                             boost::asio::ip::tcp::endpoint(
                               boost::asio::ip::address_v4::any(),
                               static_cast<std::uint16_t>(firstPort + i)));
  } catch (const boost::system::system_error&) {
    return false;
  }
  return true;
}

/// The first of a range of ports that nobody listens at. They lie below those
/// that the system gives to connections.
std::uint16_t
freeRange()
{
  const unsigned start = static_cast<unsigned>(getpid()) % 400 * portsNeeded;
  for (unsigned tried = 0; tried < 400; ++tried) {
    const unsigned first = 20000 + (start + tried * portsNeeded) % 8000;
    if (isRangeFree(first))
      return static_cast<std::uint16_t>(first);
  }
  throw std::runtime_error("no range of ports is free");
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

void
checkPromises(Soak::Settings settings, std::uint64_t seed)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("cowslippin-soak-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  settings.program = DAEMON_PROGRAM;
  settings.folder = folder;
  settings.firstPort = freeRange();
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

INSTANTIATE_TEST_SUITE_P(Seeds, SoakSeed, ::testing::Values(1, 2));

} // namespace
} // namespace cowslippin::testing
