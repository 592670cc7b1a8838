#pragma once

#include <string>

namespace cowslippin {

/// The limit on how many tasks of one step may run on a worker at a time, as it
/// applies to one of these tasks.
struct SpreadLimit
{
  /// The names of all tasks of the step begin with it, whichever daemon has
  /// submitted or started them.
  std::string taskPrefix;
  /// The task that is to be started. It doesn't count itself.
  std::string task;
  /// 0 for any number.
  unsigned maxTasks = 0;

  friend bool operator==(const SpreadLimit& a, const SpreadLimit& b)
  {
    return a.taskPrefix == b.taskPrefix && a.task == b.task &&
           a.maxTasks == b.maxTasks;
  }
  friend bool operator!=(const SpreadLimit& a, const SpreadLimit& b)
  {
    return !(a == b);
  }
};

} // namespace cowslippin
