#pragma once

#include "processusage.h"

#include <unordered_map>

/// Counts the TCP traffic of one process by what the kernel tells of each of
/// its sockets (sock_diag with TCP_INFO). A connection counts from the first
/// look that finds it; what it carried after the last look before it closed is
/// not counted. So look about once a second.
class TrafficCounter
{
public:
  /// Counts from now on.
  explicit TrafficCounter(pid_t pid);

  /// Looks at the sockets again. Throws std::system_error if the kernel
  /// refuses to tell.
  void look();

  /// The traffic so far; the other figures are 0.
  const ProcessUsage& traffic() const { return m_traffic; }

private:
  using Inode = std::uint64_t;
  using Sockets = std::unordered_map<Inode, ProcessUsage>;

  Sockets read() const;

  pid_t m_pid;
  Sockets m_last;
  ProcessUsage m_traffic;
};
