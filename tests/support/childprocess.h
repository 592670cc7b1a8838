#pragma once

#include "libcore/core.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace cowslippin::testing {

/// How a process ended.
struct ExitStatus
{
  /// Unset when a signal ended it.
  std::optional<int> code;
  /// Unset when it exited by itself.
  std::optional<int> signal;
};

/// How long any wait in a test may take. Only a hung test gets there.
constexpr Duration hangLimit = std::chrono::seconds(20);

/// A program started by a test. Its standard output is read line by line.
/// The destructor kills it, and nothing else.
class ChildProcess
{
public:
  /// Starts `arguments[0]` with the further arguments. Throws
  /// std::system_error when that fails.
  explicit ChildProcess(const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return m_pid; }

  /// Waits for an output line that starts with `prefix` and returns it.
  /// Throws std::runtime_error when the output ends or the hang limit passes.
  std::string waitForLine(const std::string& prefix);

  /// Waits for the line `listening ADDRESS` and returns the address.
  Address waitForAddress();

  /// The lines of output so far.
  std::vector<std::string> lines() const;

  /// Sends a signal to the process, if it has not been waited for.
  void signal(int number) const;

  /// Stops the process until SIGCONT, and waits until it stands still: for a
  /// while after SIGSTOP was sent its threads still run. Throws
  /// std::runtime_error when the hang limit passes.
  void suspend() const;

  /// Waits for the process to end. Throws std::runtime_error when the hang
  /// limit passes. May be called again.
  ExitStatus wait();

private:
  void start(const std::vector<std::string>& arguments, int output);
  void readOutput(int output);
  bool reap(int options);

  pid_t m_pid = -1;
  std::optional<ExitStatus> m_status;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_lines;
  bool m_ended = false;
  std::thread m_reader;
};

} // namespace cowslippin::testing
