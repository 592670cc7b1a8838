#pragma once

#include "libcore/clock.h"

#include <string>
#include <unordered_map>

namespace cowslippin {

/// Learns how far the estimates of each queue are off, from runs that completed
/// their task.
class RunTimes
{
public:
  /// Records that a run of this queue took `actual` where `estimate` was given.
  void record(const std::string& queue, Duration estimate, Duration actual);

  /// Returns how long a task with this estimate is expected to run.
  Duration expected(const std::string& queue, Duration estimate) const;

private:
  struct Entry
  {
    double ratio = 1;
    unsigned samples = 0;
  };

  std::unordered_map<std::string, Entry> m_entries;
};

} // namespace cowslippin
