#include "holderlookup.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowslippin {

HolderLookup::HolderLookup(VmId self,
                           ZoneName zone,
                           Sources sources,
                           std::function<bool(const VmId&)> isConnected)
  : m_self(std::move(self))
  , m_zone(std::move(zone))
  , m_sources(sources)
  , m_isConnected(std::move(isConnected))
{
}

std::optional<VmId>
HolderLookup::reachable(const ShardId& shard) const
{
  auto holder = m_sources.shards.holder(shard);
  if (holder && *holder != m_self && !m_isConnected(*holder))
    return std::nullopt;
  return holder;
}

bool
HolderLookup::hasReachableHolder() const
{
  const auto shards = m_sources.shards.servedShards();
  return std::any_of(shards.begin(), shards.end(), [this](const auto& shard) {
    return reachable(shard).has_value();
  });
}

bool
HolderLookup::areAllZonesEvacuated() const
{
  const auto shards = m_sources.shards.servedShards();
  return !shards.empty() &&
         std::all_of(shards.begin(), shards.end(), [this](const auto& shard) {
           return m_sources.scheduler.isEvacuated(shard.zone());
         });
}

std::optional<HolderChoice>
HolderLookup::currentHolder(const ShardId& shard, TimePoint now) const
{
  const ShardId present = m_sources.scheduler.currentShard(shard);
  for (const ShardId& candidate : { shard, present }) {
    if (const auto holder = reachable(candidate))
      return makeChoice(*holder, candidate, now);
  }
  return std::nullopt;
}

std::optional<HolderChoice>
HolderLookup::bestHolder(const std::set<ShardId>& refusedBy,
                         std::size_t tasks,
                         TimePoint now)
{
  std::vector<HolderChoice> localZone;
  std::vector<HolderChoice> otherZones;
  for (const ShardId& shard : m_sources.shards.servedShards()) {
    const auto holder = reachable(shard);
    const bool isEvacuated = m_sources.scheduler.isEvacuated(shard.zone());
    if (!holder || isEvacuated || refusedBy.count(shard) > 0)
      continue;
    auto& choices = shard.zone() == m_zone ? localZone : otherZones;
    choices.push_back(makeChoice(*holder, shard, now));
  }
  auto choice = refusedBy.empty()
                  ? m_chooser.choose(localZone, otherZones, tasks)
                  : HolderChooser::mostFreeSlots(localZone, otherZones);
  if (choice)
    ++(choice->shard.zone() == m_zone ? m_placements.inOwnZone
                                      : m_placements.inOtherZones);
  return choice;
}

HolderChoice
HolderLookup::makeChoice(const VmId& holder,
                         const ShardId& shard,
                         TimePoint now) const
{
  HolderChoice choice;
  choice.holder = holder;
  choice.shard = shard;
  if (holder == m_self) {
    choice.freeSlots = m_sources.scheduler.spareSlots(shard, now);
  } else {
    choice.freeSlots = m_sources.reports.freeSlots(holder, shard);
    choice.age = m_sources.reports.age(holder, now).value_or(Duration::zero());
  }
  return choice;
}

} // namespace cowslippin
