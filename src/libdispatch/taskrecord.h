#pragma once

#include "endpointrecord.h"
#include "runtimeestimate.h"
#include "taskspec.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

namespace cowslippin {

class Lane;

/// A template's learned run time and how many of its tasks are running.
struct TemplateRecord
{
  RunTimeEstimate runTime;
  int inFlight = 0;
};

/// A task that has not ended.
struct TaskRecord
{
  explicit TaskRecord(TaskSpec taskSpec)
    : spec(std::move(taskSpec))
  {
  }

  bool isQueued() const { return endpoint == nullptr; }

  /// What is known of its attempts so far.
  RunState ran() const
  {
    if (anyUnknown) {
      return RunState::MayHaveRun;
    }
    return anyFailed ? RunState::Failed : RunState::NotRun;
  }

  using Hook = boost::intrusive::link_mode<boost::intrusive::safe_link>;

  TaskSpec spec;
  int urgency = 0;
  TimePoint arrival;
  TemplateRecord* templateRecord = nullptr;
  Lane* lane = nullptr;
  /// Where it runs; null while it waits.
  EndpointRecord* endpoint = nullptr;
  bool isProbe = false;
  int attempts = 0;
  bool anyFailed = false;
  bool anyUnknown = false;
  bool cancelled = false;
  std::vector<std::uint64_t> tried;
  /// Its place among the waiting tasks of its urgency.
  boost::intrusive::list_member_hook<Hook> queueHook;
  /// Its place among the waiting tasks with a deadline.
  boost::intrusive::set_member_hook<Hook> deadlineHook;
};

} // namespace cowslippin
