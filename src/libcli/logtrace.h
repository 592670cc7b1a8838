#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cowslippin {

/// One line of a daemon's log that is about a job.
struct TraceLine
{
  /// As logged, RFC 3339.
  std::string time;
  /// What stood before the line, or the name of its file.
  std::string process;
  std::string event;
  /// The further fields, `name=value`.
  std::string fields;

  friend bool operator==(const TraceLine& a, const TraceLine& b)
  {
    return a.time == b.time && a.process == b.process && a.event == b.event &&
           a.fields == b.fields;
  }
  friend bool operator!=(const TraceLine& a, const TraceLine& b)
  {
    return !(a == b);
  }
};

/// The lines of a log that are about a job, or about a run of one of its tasks.
/// Lines that aren't JSON are skipped; text before the JSON names the process,
/// as in a log that was collected from several.
std::vector<TraceLine>
readTrace(std::istream& log,
          const std::string& logName,
          const std::string& job);

/// The lines of several logs in the order of their times, as a table.
std::string
renderTrace(std::vector<TraceLine> lines);

} // namespace cowslippin
