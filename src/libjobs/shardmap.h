#pragma once

#include "machinelimits.h"

#include "libworkers/workerrecord.h"

#include "libcore/shardid.h"

#include <cstdint>
#include <map>
#include <set>

namespace cowslippin {

/// The platform's list of workers, by id.
using WorkerList = std::map<WorkerId, WorkerRecord>;

/// A hash of the set of a shard's workers: lists with the same workers have the
/// same digest.
using ShardDigest = std::uint64_t;

/// Returns what one worker adds to a digest.
ShardDigest
digestOf(const WorkerId& worker);

/// Divides each zone's workers into shards of a size that one daemon can hold.
/// The number of a zone's shards is a power of two. It changes only when the
/// number of workers has changed considerably, so that daemons whose lists
/// differ by a few workers divide them alike.
class ShardMap
{
public:
  /// Sets the maximum number of workers per shard in each zone, applied from
  /// the next list on. Other zones have `maxWorkersPerShard`.
  void setMaxShardSizes(std::map<ZoneName, std::size_t> bounds);
  /// Sets the list of workers. Returns true if the number of some zone's shards
  /// has changed.
  bool update(const WorkerList& workers);
  /// Adopts the number of shards of another daemon that divides a zone into
  /// more shards, if this daemon's own list allows it. Returns true if it did.
  /// Otherwise a daemon that joined later could divide the zone differently
  /// from the rest for good.
  bool adoptShardCount(const ShardId& shard);

  ShardId shardOf(const WorkerRecord& worker) const;
  ShardDigest digest(const WorkerList& workers, const ShardId& shard) const;
  std::set<ShardId> shards() const;
  /// Returns the shard of the present division that has workers of a shard of
  /// another division: all of those workers if that division had more shards,
  /// else a part.
  ShardId currentShard(const ShardId& shard) const;

private:
  struct Division
  {
    unsigned count = 1;
    /// Number of workers in the zone.
    std::size_t size = 0;
  };

  std::size_t maxSizeOf(const ZoneName& zone) const;

  std::map<ZoneName, std::size_t> m_bounds;
  std::map<ZoneName, Division> m_divisions;
};

} // namespace cowslippin
