#pragma once

#include "libcore/core.h"

#include <cstddef>
#include <sys/types.h>
#include <vector>

namespace cowslippin::testing {

/// Whether a child process, which isn't waited for here, has ended.
bool
hasEnded(pid_t process);

/// The resident memory of a process, in bytes, from /proc/PID/status. 0 if it
/// can't be read.
std::size_t
residentBytes(pid_t process);

/// The number of open descriptors of a process.
std::size_t
openDescriptors(pid_t process);

/// The bytes that the system has received for the sockets of some local
/// addresses, and that weren't read yet, from /proc/net/tcp.
std::size_t
unreadBytes(const std::vector<Address>& localAddresses);

} // namespace cowslippin::testing
