#pragma once

#include "taskid.h"

#include <variant>
#include <vector>

namespace cowslippin {

/// Send the task to the endpoint now.
class Start
{
public:
  Start(TaskId task, EndpointId endpoint, int attempt)
    : m_task(std::move(task))
    , m_endpoint(std::move(endpoint))
    , m_attempt(attempt)
  {
  }

  const TaskId& task() const { return m_task; }
  const EndpointId& endpoint() const { return m_endpoint; }
  /// Counts from 1.
  int attempt() const { return m_attempt; }

  friend bool operator==(const Start& a, const Start& b)
  {
    return a.m_task == b.m_task && a.m_endpoint == b.m_endpoint &&
           a.m_attempt == b.m_attempt;
  }
  friend bool operator!=(const Start& a, const Start& b) { return !(a == b); }

private:
  TaskId m_task;
  EndpointId m_endpoint;
  int m_attempt;
};

/// The task has ended without another attempt; the problem says whether it
/// ran.
class GiveUp
{
public:
  GiveUp(TaskId task, Problem problem)
    : m_task(std::move(task))
    , m_problem(std::move(problem))
  {
  }

  const TaskId& task() const { return m_task; }
  const Problem& problem() const { return m_problem; }

  friend bool operator==(const GiveUp& a, const GiveUp& b)
  {
    return a.m_task == b.m_task && a.m_problem == b.m_problem;
  }
  friend bool operator!=(const GiveUp& a, const GiveUp& b) { return !(a == b); }

private:
  TaskId m_task;
  Problem m_problem;
};

/// What the caller of the dispatcher has to do.
using DispatchAction = std::variant<Start, GiveUp>;
using DispatchActions = std::vector<DispatchAction>;

} // namespace cowslippin
