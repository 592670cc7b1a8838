#include "lane.h"

#include <algorithm>
#include <cstdlib>

namespace cowslippin {

namespace {

bool
isDueBefore(const TaskRecord& a, const TaskRecord& b)
{
  const std::optional<TimePoint>& first = a.spec.deadline();
  const std::optional<TimePoint>& second = b.spec.deadline();
  return first && (!second || *first < *second);
}

} // namespace

std::size_t
Lane::rank(int urgency)
{
  const int bounded = std::clamp(urgency, 0, OrganisationShare::maxUrgency);
  return static_cast<std::size_t>(OrganisationShare::maxUrgency - bounded);
}

std::size_t
Lane::aheadOf(int urgency) const
{
  std::size_t count = 0;
  for (std::size_t i = 0; i <= rank(urgency); ++i) {
    count += m_tasks[i].size();
  }
  return count;
}

TaskRecord&
Lane::head()
{
  for (TaskList& tasks : m_tasks) {
    if (!tasks.empty()) {
      return tasks.front();
    }
  }
  std::abort();
}

void
Lane::pushBack(TaskRecord& task)
{
  TaskList& tasks = m_tasks[rank(task.urgency)];
  auto place = tasks.end();
  while (place != tasks.begin()) {
    const auto before = std::prev(place);
    if (before->arrival != task.arrival || !isDueBefore(task, *before)) {
      break;
    }
    place = before;
  }
  tasks.insert(place, task);
  ++m_size;
}

void
Lane::pushFront(TaskRecord& task)
{
  m_tasks[rank(task.urgency)].push_front(task);
  ++m_size;
}

void
Lane::remove(TaskRecord& task)
{
  TaskList& tasks = m_tasks[rank(task.urgency)];
  tasks.erase(tasks.iterator_to(task));
  --m_size;
}

} // namespace cowslippin
