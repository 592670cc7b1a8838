#pragma once

#include "libcore/core.h"

#include <sys/types.h>

#include <cstdint>

/// What a process has used so far. Differences of two values are what it used
/// in between.
struct ProcessUsage
{
  /// Resident memory.
  double residentKb = 0;
  /// User and system time of all its threads, ended ones included.
  double cpuSeconds = 0;
  /// Payload of its TCP connections, both ways.
  double bytesIn = 0;
  double bytesOut = 0;
  /// TCP segments, acknowledgements included.
  double segmentsIn = 0;
  double segmentsOut = 0;
};

/// Differences of each figure.
ProcessUsage
operator-(const ProcessUsage& a, const ProcessUsage& b);

/// Memory and processor time of a running process. Throws std::runtime_error
/// if it cannot be read.
ProcessUsage
processUsage(pid_t pid);
