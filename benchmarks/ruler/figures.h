#pragma once

#include "deployment.h"

#include <iosfwd>
#include <map>

namespace cowslippin {

/// What became of the tasks of one group.
struct GroupFigures
{
  /// Response over ideal of the answered tasks.
  std::vector<double> ratios;
  int submitted = 0;
  int refused = 0;
  int failed = 0;
  int cancelled = 0;
  /// Answered after the deadline.
  int late = 0;
  /// Slot time of the answers in time, as a part of all slots.
  double useful = 0.0;
  int starts = 0;
  /// Time that started attempts spent waiting, in seconds.
  double waitedAtDaemon = 0.0;
  double waitedAtEndpoint = 0.0;
  /// Starts in another zone than the daemon's.
  int crossings = 0;
};

/// The figures of one case, by group of tasks.
class Figures
{
public:
  GroupFigures& group(const std::string& name) { return m_groups[name]; }

  /// Prints the names of the columns.
  static void printHeader(std::ostream& out);

  /// Prints a line for each group. `daemon` and `endpoint` are the mean waits
  /// there, in milliseconds; `useful%` is the part of all slots that worked on
  /// answers given in time. Messages are for each task.
  void print(std::ostream& out,
             const std::string& deployment,
             const std::string& caseName) const;

private:
  std::map<std::string, GroupFigures> m_groups;
};

} // namespace cowslippin
