#include "childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <functional>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace cowslippin::testing {

namespace {

constexpr std::chrono::milliseconds pollStep(5);
constexpr std::size_t readSize = 4096;

void
check(int error, const char* what)
{
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), what);
  }
}

/// The child starts with default signal handling, whatever the test set.
void
resetSignals(posix_spawnattr_t& attributes)
{
  sigset_t none;
  sigset_t all;
  sigemptyset(&none);
  sigfillset(&all);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setsigdefault(&attributes, &all);
  posix_spawnattr_setflags(&attributes,
                           POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
}

std::vector<char*>
toArgv(const std::vector<std::string>& arguments)
{
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  return argv;
}

/// Whether the child has been stopped since this was last asked.
bool
hasJustStopped(pid_t pid)
{
  siginfo_t info = {};
  return waitid(P_PID, static_cast<id_t>(pid), &info, WSTOPPED | WNOHANG) ==
           0 &&
         info.si_pid == pid;
}

/// Waits for something that the system cannot be made to tell. Throws
/// std::runtime_error with `what` when the hang limit passes.
void
pollUntil(const std::function<bool()>& isDone, const char* what)
{
  const TimePoint limit = steadyNow() + hangLimit;
  while (!isDone()) {
    if (steadyNow() > limit) {
      throw std::runtime_error(what);
    }
    std::this_thread::sleep_for(pollStep);
  }
}

bool
startsWith(const std::string& line, const std::string& prefix)
{
  return line.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments)
{
  int ends[2] = { -1, -1 };
  check(pipe2(ends, O_CLOEXEC) == 0 ? 0 : errno, "pipe2");
  try {
    start(arguments, ends[1]);
  } catch (...) {
    close(ends[0]);
    close(ends[1]);
    throw;
  }
  close(ends[1]);
  try {
    m_reader = std::thread([this, output = ends[0]] { readOutput(output); });
  } catch (...) {
    // There is no destructor of what isn't constructed.
    signal(SIGKILL);
    reap(0);
    close(ends[0]);
    throw;
  }
}

ChildProcess::~ChildProcess()
{
  signal(SIGKILL);
  reap(0);
  m_reader.join();
}

void
ChildProcess::start(const std::vector<std::string>& arguments, int output)
{
  posix_spawn_file_actions_t actions;
  posix_spawnattr_t attributes;
  posix_spawn_file_actions_init(&actions);
  posix_spawnattr_init(&attributes);
  posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  // A connection that the child holds too isn't closed when this process closes
  // it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  resetSignals(attributes);
  std::vector<char*> argv = toArgv(arguments);
  const int error =
    posix_spawn(&m_pid, argv[0], &actions, &attributes, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  check(error, argv[0]);
}

std::string
ChildProcess::waitForLine(const std::string& prefix)
{
  std::unique_lock lock(m_mutex);
  std::size_t seen = 0;
  const auto found = [&] {
    while (seen < m_lines.size() && !startsWith(m_lines[seen], prefix)) {
      ++seen;
    }
    return seen < m_lines.size() || m_ended;
  };
  m_changed.wait_for(lock, hangLimit, found);
  if (seen == m_lines.size()) {
    throw std::runtime_error("no line of output starts with " + prefix);
  }
  return m_lines[seen];
}

Address
ChildProcess::waitForAddress()
{
  const std::string prefix = "listening ";
  const std::string text = waitForLine(prefix).substr(prefix.size());
  const Result<Address> address = Address::parse(text, "listening");
  if (!address) {
    throw std::runtime_error(address.error().detail());
  }
  return *address;
}

std::vector<std::string>
ChildProcess::lines() const
{
  const std::lock_guard lock(m_mutex);
  return m_lines;
}

void
ChildProcess::signal(int number) const
{
  if (!m_status) {
    kill(m_pid, number);
  }
}

void
ChildProcess::suspend() const
{
  signal(SIGSTOP);
  pollUntil([this] { return hasJustStopped(m_pid); },
            "the process does not stop");
}

ExitStatus
ChildProcess::wait()
{
  pollUntil([this] { return reap(WNOHANG); }, "the process does not end");
  return *m_status;
}

void
ChildProcess::readOutput(int output)
{
  std::string pending;
  char bytes[readSize];
  ssize_t count = 0;
  while ((count = read(output, bytes, sizeof(bytes))) > 0) {
    pending.append(bytes, static_cast<std::size_t>(count));
    const std::lock_guard lock(m_mutex);
    std::size_t newline = 0;
    while ((newline = pending.find('\n')) != std::string::npos) {
      m_lines.push_back(pending.substr(0, newline));
      pending.erase(0, newline + 1);
    }
    m_changed.notify_all();
  }
  close(output);
  const std::lock_guard lock(m_mutex);
  m_ended = true;
  m_changed.notify_all();
}

bool
ChildProcess::reap(int options)
{
  if (m_status) {
    return true;
  }
  int status = 0;
  if (waitpid(m_pid, &status, options) != m_pid) {
    return false;
  }
  m_status = ExitStatus();
  if (WIFEXITED(status)) {
    m_status->code = WEXITSTATUS(status);
  } else {
    m_status->signal = WTERMSIG(status);
  }
  return true;
}

} // namespace cowslippin::testing
