#include "shardmap.h"

#include <functional>
#include <string>
#include <utility>

namespace cowslippin {

namespace {

/// Share by which the number of workers must pass the limit for another number
/// of shards.
constexpr double hysteresis = 0.2;

unsigned
shardCountFor(std::size_t workers, std::size_t bound)
{
  unsigned count = 1;
  while (count * bound < workers)
    count *= 2;
  return count;
}

/// Whether a zone with this many workers has to be divided into another number
/// of shards.
bool
needsOtherCount(unsigned count, std::size_t workers, std::size_t bound)
{
  const auto more =
    static_cast<std::size_t>(double(workers) * (1 - hysteresis));
  const auto fewer =
    static_cast<std::size_t>(double(workers) * (1 + hysteresis));
  return shardCountFor(more, bound) > count ||
         shardCountFor(fewer, bound) < count;
}

} // namespace

ShardDigest
digestOf(const WorkerId& worker)
{
  return std::hash<std::string>()(worker.value());
}

void
ShardMap::setMaxShardSizes(std::map<ZoneName, std::size_t> bounds)
{
  m_bounds = std::move(bounds);
}

std::size_t
ShardMap::maxSizeOf(const ZoneName& zone) const
{
  const auto bound = m_bounds.find(zone);
  return bound == m_bounds.end() ? maxWorkersPerShard : bound->second;
}

bool
ShardMap::update(const WorkerList& workers)
{
  std::map<ZoneName, std::size_t> sizes;
  for (const auto& [id, worker] : workers)
    ++sizes[worker.zone()];
  bool isChanged = false;
  for (const auto& [zone, size] : sizes) {
    const auto [found, isNew] = m_divisions.try_emplace(zone);
    Division& division = found->second;
    division.size = size;
    const std::size_t bound = maxSizeOf(zone);
    if (!isNew && !needsOtherCount(division.count, size, bound))
      continue;
    division.count = shardCountFor(size, bound);
    isChanged = isChanged || !isNew;
  }
  return isChanged;
}

bool
ShardMap::adoptShardCount(const ShardId& shard)
{
  const auto found = m_divisions.find(shard.zone());
  if (found == m_divisions.end() || shard.count() <= found->second.count ||
      needsOtherCount(
        shard.count(), found->second.size, maxSizeOf(shard.zone())))
    return false;
  found->second.count = shard.count();
  return true;
}

ShardId
ShardMap::shardOf(const WorkerRecord& worker) const
{
  const auto found = m_divisions.find(worker.zone());
  if (found == m_divisions.end())
    return { worker.zone(), 0 };
  const unsigned count = found->second.count;
  const ShardDigest hash = digestOf(worker.id());
  return { worker.zone(), static_cast<unsigned>(hash % count), count };
}

ShardDigest
ShardMap::digest(const WorkerList& workers, const ShardId& shard) const
{
  ShardDigest digest = 0;
  for (const auto& [id, worker] : workers) {
    if (shardOf(worker) == shard)
      digest += digestOf(id);
  }
  return digest;
}

std::set<ShardId>
ShardMap::shards() const
{
  std::set<ShardId> all;
  for (const auto& [zone, division] : m_divisions) {
    for (unsigned index = 0; index < division.count; ++index)
      all.emplace(zone, index, division.count);
  }
  return all;
}

ShardId
ShardMap::currentShard(const ShardId& shard) const
{
  const auto found = m_divisions.find(shard.zone());
  if (found == m_divisions.end())
    return shard;
  const unsigned count = found->second.count;
  return { shard.zone(), shard.index() % count, count };
}

} // namespace cowslippin
