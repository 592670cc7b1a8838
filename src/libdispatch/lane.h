#pragma once

#include "organisationrecord.h"
#include "taskrecord.h"
#include "zonenumbers.h"

#include <array>

namespace cowslippin {

class FairQueue;

/// The waiting tasks of one organisation for one service, with the same
/// allowed zones. The most urgent goes first; among those equally urgent the
/// first to arrive; among those that arrived together the earliest deadline.
class Lane
{
public:
  Lane(FairQueue& queue,
       OrganisationRecord& organisation,
       const ZoneSet& zones,
       std::size_t group)
    : m_queue(queue)
    , m_organisation(organisation)
    , m_zones(zones)
    , m_group(group)
  {
  }

  FairQueue& queue() const { return m_queue; }
  OrganisationRecord& organisation() const { return m_organisation; }
  const ZoneSet& zones() const { return m_zones; }
  /// Its group's number in the queue.
  std::size_t group() const { return m_group; }

  bool isEmpty() const { return m_size == 0; }
  std::size_t size() const { return m_size; }
  /// How many wait that a new task of this urgency would come after.
  std::size_t aheadOf(int urgency) const;
  TaskRecord& head();

  void pushBack(TaskRecord& task);
  /// A task that was started before goes ahead of those equally urgent.
  void pushFront(TaskRecord& task);
  void remove(TaskRecord& task);

  using Hook = boost::intrusive::link_mode<boost::intrusive::safe_link>;

  /// The virtual time at which its next task is due.
  double tag = 0.0;
  /// Linked while it has a task that may be started.
  boost::intrusive::set_member_hook<Hook> readyHook;

private:
  using TaskList = boost::intrusive::list<
    TaskRecord,
    boost::intrusive::member_hook<TaskRecord,
                                  decltype(TaskRecord::queueHook),
                                  &TaskRecord::queueHook>>;

  static std::size_t rank(int urgency);

  FairQueue& m_queue;
  OrganisationRecord& m_organisation;
  ZoneSet m_zones;
  std::size_t m_group;
  std::size_t m_size = 0;
  std::array<TaskList, OrganisationShare::maxUrgency + 1> m_tasks;
};

} // namespace cowslippin
