#pragma once

#include "support/childprocess.h"

#include <string>
#include <vector>

namespace cowslippin::testing {

/// A daemon that the soak started. It ends with this object, by its id, and
/// with this process, however that ends.
class DaemonProcess
{
public:
  /// `logFile` gets the daemon's lines when it has ended; none if empty.
  /// Throws std::system_error if the program can't be started.
  DaemonProcess(const std::vector<std::string>& command, std::string logFile);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void signal(int number) const { m_process.signal(number); }
  pid_t pid() const { return m_process.pid(); }

private:
  void keepLog() const;

  ChildProcess m_process;
  const std::string m_logFile;
};

} // namespace cowslippin::testing
