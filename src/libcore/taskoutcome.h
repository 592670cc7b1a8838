#pragma once

#include "result.h"

#include <string>
#include <utility>

namespace cowslippin {

/// A task's whole answer as its endpoint gave it.
class TaskAnswer
{
public:
  TaskAnswer(std::string contentType, std::string body)
    : m_contentType(std::move(contentType))
    , m_body(std::move(body))
  {
  }

  const std::string& contentType() const { return m_contentType; }
  const std::string& body() const { return m_body; }

  friend bool operator==(const TaskAnswer& a, const TaskAnswer& b)
  {
    return a.m_contentType == b.m_contentType && a.m_body == b.m_body;
  }
  friend bool operator!=(const TaskAnswer& a, const TaskAnswer& b)
  {
    return !(a == b);
  }

private:
  std::string m_contentType;
  std::string m_body;
};

/// How a task ended: its answer, or a problem that says whether it ran.
using TaskOutcome = Result<TaskAnswer>;

} // namespace cowslippin
