#include "shardmap.h"

#include <functional>
#include <string>

namespace cowslippin {

namespace {

/// How far the number of workers must be beyond the bound of another number of
/// shards.
constexpr double hysteresis = 0.2;

unsigned
countFor(std::size_t workers)
{
  unsigned count = 1;
  while (count * ShardMap::workersPerShard < workers)
    count *= 2;
  return count;
}

} // namespace

bool
ShardMap::update(const WorkerList& workers)
{
  std::map<ZoneName, std::size_t> sizes;
  for (const auto& [id, worker] : workers)
    ++sizes[worker.zone()];
  bool isChanged = false;
  for (const auto& [zone, size] : sizes) {
    const auto [found, isNew] = m_counts.try_emplace(zone, countFor(size));
    if (isNew)
      continue;
    const auto more = static_cast<std::size_t>(double(size) * (1 - hysteresis));
    const auto fewer =
      static_cast<std::size_t>(double(size) * (1 + hysteresis));
    const bool isFar =
      countFor(more) > found->second || countFor(fewer) < found->second;
    if (!isFar)
      continue;
    found->second = countFor(size);
    isChanged = true;
  }
  return isChanged;
}

ShardId
ShardMap::shardOf(const WorkerRecord& worker) const
{
  const auto count = m_counts.find(worker.zone());
  if (count == m_counts.end() || count->second == 1)
    return { worker.zone(), 0 };
  const std::size_t hash = std::hash<std::string>()(worker.id().value());
  return { worker.zone(), static_cast<unsigned>(hash % count->second) };
}

ShardDigest
ShardMap::digest(const WorkerList& workers, const ShardId& shard) const
{
  ShardDigest digest = 0;
  for (const auto& [id, worker] : workers) {
    if (shardOf(worker) == shard)
      digest += std::hash<std::string>()(id.value());
  }
  return digest;
}

std::set<ShardId>
ShardMap::shards() const
{
  std::set<ShardId> all;
  for (const auto& [zone, count] : m_counts) {
    for (unsigned index = 0; index < count; ++index)
      all.emplace(zone, index);
  }
  return all;
}

} // namespace cowslippin
