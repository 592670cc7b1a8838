#include "freeports.h"
#include "support/childprocess.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

namespace cowslippin::testing {
namespace {

constexpr std::size_t daemonsOfASoak = 4;

/// Children of the main thread of a process.
std::vector<pid_t>
childrenOf(pid_t process)
{
  const std::string id = std::to_string(process);
  std::ifstream file("/proc/" + id + "/task/" + id + "/children");
  std::vector<pid_t> children;
  for (pid_t child = 0; file >> child;)
    children.push_back(child);
  return children;
}

/// Runs the soak program. Daemons that outlive it become this process's
/// children.
class SoakProgram : public ::testing::Test
{
protected:
  void SetUp() override { prctl(PR_SET_CHILD_SUBREAPER, 1); }

  void TearDown() override
  {
    for (const pid_t left : childrenOf(getpid()))
      kill(left, SIGKILL);
    waitUntil([] { return waitpid(-1, nullptr, WNOHANG) < 0; });
    prctl(PR_SET_CHILD_SUBREAPER, 0);
  }

  bool waitUntil(const std::function<bool()>& isDone)
  {
    const TimePoint limit = steadyNow() + hangLimit;
    while (!isDone()) {
      if (steadyNow() > limit)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  void startSoak()
  {
    soak = std::make_unique<ChildProcess>(
      std::vector<std::string>{ SOAK_PROGRAM,
                                "--seconds=60",
                                "--strike-rate=20",
                                "--first-port",
                                std::to_string(freePortRange()) });
    ASSERT_TRUE(waitUntil(
      [this] { return childrenOf(soak->pid()).size() == daemonsOfASoak; }));
  }

  /// Whether all of them end by themselves.
  bool areDaemonsGone()
  {
    return waitUntil(
      [] { return waitpid(-1, nullptr, WNOHANG) < 0 && errno == ECHILD; });
  }

  std::unique_ptr<ChildProcess> soak;
};

TEST_F(SoakProgram, LeavesNoDaemonsWhenAnExceptionEndsIt)
{
  startSoak();
  // The next start of a daemon fails.
  const rlimit none{ 3, 3 };
  ASSERT_EQ(prlimit(soak->pid(), RLIMIT_NOFILE, &none, nullptr), 0);
  EXPECT_EQ(soak->wait().code, 3);
  EXPECT_TRUE(areDaemonsGone());
}

TEST_F(SoakProgram, LeavesNoDaemonsWhenASignalEndsIt)
{
  startSoak();
  soak->signal(SIGKILL);
  EXPECT_EQ(soak->wait().signal, SIGKILL);
  EXPECT_TRUE(areDaemonsGone());
}

} // namespace
} // namespace cowslippin::testing
