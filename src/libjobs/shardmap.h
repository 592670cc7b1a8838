#pragma once

#include "carriedworkers.h"

#include "libworkers/workerrecord.h"

#include "libcore/shardid.h"

#include <cstdint>
#include <map>
#include <set>

namespace cowslippin {

/// The list of workers as the platform tells it, by id.
using WorkerList = std::map<WorkerId, WorkerRecord>;

/// Stands for the set of a shard's workers: lists with the same workers have
/// the same.
using ShardDigest = std::uint64_t;

/// What one worker adds to a digest.
ShardDigest
digestOf(const WorkerId& worker);

/// Divides each zone's workers into shards of a size that one daemon can hold.
/// The number of a zone's shards is a power of two and changes only when the
/// number of its workers has changed a good deal, so that daemons whose lists
/// differ by a few workers divide them alike.
class ShardMap
{
public:
  /// How many workers a shard of each zone may have, from the next list on;
  /// `mostWorkersPerShard` in other zones.
  void setBounds(std::map<ZoneName, std::size_t> bounds);
  /// Takes a list. True if the number of some zone's shards has changed.
  bool update(const WorkerList& workers);
  /// Another daemon divides a zone into more shards: so does this one, if its
  /// own list allows for it, and then the answer is true. A daemon that has
  /// come later may else divide otherwise than the rest for good.
  bool adopt(const ShardId& shard);

  ShardId shardOf(const WorkerRecord& worker) const;
  ShardDigest digest(const WorkerList& workers, const ShardId& shard) const;
  std::set<ShardId> shards() const;
  /// The shard of the present division that has workers of one of another:
  /// all of them if that had more shards, else a part.
  ShardId present(const ShardId& shard) const;

private:
  struct Division
  {
    unsigned count = 1;
    /// Workers of the zone.
    std::size_t size = 0;
  };

  std::size_t boundOf(const ZoneName& zone) const;

  std::map<ZoneName, std::size_t> m_bounds;
  std::map<ZoneName, Division> m_divisions;
};

} // namespace cowslippin
