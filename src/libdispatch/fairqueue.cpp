#include "fairqueue.h"

#include <algorithm>

namespace cowslippin {

namespace {

constexpr double smallestWeight = 1e-3;

double
weightOf(const Lane& lane)
{
  return std::max(smallestWeight, lane.organisation().share.weight());
}

} // namespace

Lane&
FairQueue::lane(OrganisationRecord& organisation, const ZoneSet& zones)
{
  std::vector<std::unique_ptr<Lane>>& lanes = m_lanes[&organisation];
  for (const std::unique_ptr<Lane>& lane : lanes) {
    if (lane->zones() == zones) {
      return *lane;
    }
  }
  const std::size_t group = groupOf(zones);
  lanes.push_back(std::make_unique<Lane>(*this, organisation, zones, group));
  Lane& created = *lanes.back();
  organisation.lanes.push_back(&created);
  m_groups[group]->lanes.push_back(&created);
  return created;
}

std::size_t
FairQueue::groupOf(const ZoneSet& zones)
{
  for (std::size_t i = 0; i < m_groups.size(); ++i) {
    if (m_groups[i]->zones == zones) {
      return i;
    }
  }
  m_groups.push_back(std::make_unique<Group>());
  m_groups.back()->zones = zones;
  return m_groups.size() - 1;
}

void
FairQueue::pushBack(Lane& lane, TaskRecord& task)
{
  activate(lane);
  lane.pushBack(task);
  afterPush(lane);
}

void
FairQueue::pushFront(Lane& lane, TaskRecord& task)
{
  activate(lane);
  lane.pushFront(task);
  afterPush(lane);
}

void
FairQueue::activate(Lane& lane)
{
  if (lane.isEmpty()) {
    lane.tag = std::max(lane.tag, m_virtualTime);
    m_waitingWeight += weightOf(lane);
  }
}

void
FairQueue::afterPush(Lane& lane)
{
  ++m_size;
  ++m_groups[lane.group()]->size;
  ++lane.organisation().queued;
  update(lane);
}

void
FairQueue::remove(TaskRecord& task)
{
  Lane& lane = *task.lane;
  lane.remove(task);
  --m_size;
  --m_groups[lane.group()]->size;
  --lane.organisation().queued;
  if (lane.isEmpty()) {
    m_waitingWeight = m_size == 0 ? 0.0 : m_waitingWeight - weightOf(lane);
  }
  update(lane);
}

void
FairQueue::take(TaskRecord& task, Duration expectedRunTime)
{
  Lane& lane = *task.lane;
  park(lane);
  m_virtualTime = std::max(m_virtualTime, lane.tag);
  lane.tag += static_cast<double>(expectedRunTime.count()) / weightOf(lane);
  remove(task);
}

void
FairQueue::update(Lane& lane)
{
  const bool isReady = !lane.isEmpty() && lane.organisation().mayStart();
  if (isReady == lane.readyHook.is_linked()) {
    return;
  }
  if (isReady) {
    m_groups[lane.group()]->ready.insert(lane);
  } else {
    park(lane);
  }
}

void
FairQueue::park(Lane& lane)
{
  if (lane.readyHook.is_linked()) {
    ReadyLanes& ready = m_groups[lane.group()]->ready;
    ready.erase(ready.iterator_to(lane));
  }
}

const ZoneSet&
FairQueue::zonesOf(std::size_t group) const
{
  return m_groups[group]->zones;
}

std::size_t
FairQueue::sizeOf(std::size_t group) const
{
  return m_groups[group]->size;
}

Lane*
FairQueue::next(std::size_t group) const
{
  ReadyLanes& ready = m_groups[group]->ready;
  return ready.empty() ? nullptr : &*ready.begin();
}

std::vector<Lane*>
FairQueue::waitingLanes(std::size_t group) const
{
  std::vector<Lane*> waiting;
  for (Lane* lane : m_groups[group]->lanes) {
    if (!lane->isEmpty()) {
      waiting.push_back(lane);
    }
  }
  return waiting;
}

void
FairQueue::recountWeights()
{
  m_waitingWeight = 0.0;
  for (const auto& [organisation, lanes] : m_lanes) {
    for (const std::unique_ptr<Lane>& lane : lanes) {
      m_waitingWeight += lane->isEmpty() ? 0.0 : weightOf(*lane);
    }
  }
}

double
FairQueue::shareOf(const Lane& lane) const
{
  const double own = weightOf(lane);
  const double all = m_waitingWeight + (lane.isEmpty() ? own : 0.0);
  return std::clamp(own / all, 0.0, 1.0);
}

} // namespace cowslippin
