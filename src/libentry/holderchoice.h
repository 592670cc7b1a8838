#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"
#include "libcore/shardid.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cowslippin {

/// A shard that a job could be submitted to, and what is known of it.
struct HolderChoice
{
  VmId holder;
  ShardId shard;
  /// Free slots, and the age of the holder's report of them.
  unsigned freeSlots = 0;
  Duration age = Duration::zero();
};

/// Chooses the shard that a new job is submitted to first.
///
/// The load is spread unevenly over the shards of a zone. So two shards are
/// compared, taken in turn, and the one with more free slots gets the job.
/// Reports of free slots are up to 140 ms old, longer than many tasks run, so
/// choosing the best of all shards would send every job to the same one.
///
/// Shards of the job's own zone go first, as long as one of them has a free
/// slot for each task. When the callers of one zone submit more than its
/// workers can run, the holders of that zone would otherwise spend their
/// processor time on refusing and returning tasks for which another zone has
/// room. Tasks that find no free slot at a holder are offered to other holders
/// by it, which knows more about them.
class HolderChooser
{
public:
  /// Chooses a shard for a job with this many tasks: one of two shards of the
  /// local zone, the one of them with the most free slots if those two have too
  /// few, and one of two shards of the other zones if it has room for the whole
  /// job and the local zone hasn't. Returns nothing if there is no shard.
  std::optional<HolderChoice> choose(
    const std::vector<HolderChoice>& localZone,
    const std::vector<HolderChoice>& otherZones,
    std::size_t tasks);

  /// Chooses a shard for a job that other shards have refused: the one whose
  /// holder reported the most free slots, and one of the local zone on a tie.
  /// Returns nothing if there is no shard.
  static std::optional<HolderChoice> mostFreeSlots(
    const std::vector<HolderChoice>& localZone,
    const std::vector<HolderChoice>& otherZones);

private:
  const HolderChoice& betterOfTwo(const std::vector<HolderChoice>& choices);

  std::size_t m_turn = 0;
};

} // namespace cowslippin
