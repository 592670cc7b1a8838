#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// Identifies a task: its submission and its position within that.
class TaskId
{
public:
  TaskId() = default;
  TaskId(SubmissionKey key, TaskIndex index)
    : m_key(std::move(key))
    , m_index(index)
  {
  }

  const SubmissionKey& key() const { return m_key; }
  TaskIndex index() const { return m_index; }

  friend bool operator==(const TaskId& a, const TaskId& b)
  {
    return a.m_index == b.m_index && a.m_key == b.m_key;
  }
  friend bool operator!=(const TaskId& a, const TaskId& b) { return !(a == b); }
  friend bool operator<(const TaskId& a, const TaskId& b)
  {
    return a.m_key != b.m_key ? a.m_key < b.m_key : a.m_index < b.m_index;
  }

private:
  SubmissionKey m_key;
  TaskIndex m_index = 0;
};

} // namespace cowslippin
