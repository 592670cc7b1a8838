#pragma once

#include "lane.h"

#include <memory>
#include <unordered_map>

namespace cowslippin {

/// The waiting tasks of one service. Organisations share what can be started
/// by weight (start-time fair queuing): each lane carries a virtual time that
/// advances by the expected run time of what it starts over its weight, and
/// the lane furthest behind goes next. One that was idle joins at the present
/// virtual time, so it neither waits behind a large job nor saves up a claim.
///
/// Lanes with the same allowed zones form a group, so that a decision looks
/// at one lane a group however many organisations wait.
class FairQueue
{
public:
  /// The lane of this organisation and these zones.
  Lane& lane(OrganisationRecord& organisation, const ZoneSet& zones);

  void pushBack(Lane& lane, TaskRecord& task);
  void pushFront(Lane& lane, TaskRecord& task);
  void remove(TaskRecord& task);

  /// Takes the task out to be started and charges its lane with its expected
  /// run time.
  void take(TaskRecord& task, Duration expectedRunTime);

  /// Follows a change of whether the lane's organisation may start tasks.
  void update(Lane& lane);

  std::size_t size() const { return m_size; }

  /// Groups are numbered from 0.
  std::size_t groupCount() const { return m_groups.size(); }
  const ZoneSet& zonesOf(std::size_t group) const;
  /// How many tasks of the group wait.
  std::size_t sizeOf(std::size_t group) const;
  /// The group's lane furthest behind that may start a task, or null.
  Lane* next(std::size_t group) const;
  /// All lanes of the group with a waiting task.
  std::vector<Lane*> waitingLanes(std::size_t group) const;

  /// The part of the service's capacity that the lane has while the present
  /// ones wait.
  double shareOf(const Lane& lane) const;

  /// Follows a change of an organisation's weight.
  void recountWeights();

  /// Leaves the lane out of `next` until `update`.
  void park(Lane& lane);

private:
  struct ByTag
  {
    bool operator()(const Lane& a, const Lane& b) const
    {
      return a.tag < b.tag;
    }
  };
  using ReadyLanes = boost::intrusive::multiset<
    Lane,
    boost::intrusive::compare<ByTag>,
    boost::intrusive::
      member_hook<Lane, decltype(Lane::readyHook), &Lane::readyHook>>;
  struct Group
  {
    ZoneSet zones;
    std::size_t size = 0;
    std::vector<Lane*> lanes;
    ReadyLanes ready;
  };

  std::size_t groupOf(const ZoneSet& zones);
  void activate(Lane& lane);
  void afterPush(Lane& lane);

  std::unordered_map<OrganisationRecord*, std::vector<std::unique_ptr<Lane>>>
    m_lanes;
  // These link the lanes and so have to go before them.
  std::vector<std::unique_ptr<Group>> m_groups;
  double m_virtualTime = 0.0;
  double m_waitingWeight = 0.0;
  std::size_t m_size = 0;
};

} // namespace cowslippin
