#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"
#include "libcore/shardid.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cowslippin {

/// A shard of workers that a job could go to, with what is known of it.
struct HolderChoice
{
  VmId holder;
  ShardId shard;
  /// Free places, and how long ago the holder told of them.
  unsigned places = 0;
  Duration age = Duration::zero();
};

/// Chooses the shard that a new job is handed to first.
///
/// It answers load that is spread unevenly over the shards of a zone: of two
/// shards, taken in turn, the one with more room gets the job. What is told of
/// room is up to 140 ms old, longer than many tasks run, so that choosing the
/// best of all would send everything to one. Shards of the job's own zone go
/// first: what finds no room there is offered to others by their holder, which
/// knows more.
class HolderChooser
{
public:
  /// Nothing if there is no shard. `home` are those of the own zone.
  std::optional<HolderChoice> choose(const std::vector<HolderChoice>& home,
                                     const std::vector<HolderChoice>& abroad);

  /// Where a job goes that others have refused: to whom told of the most room,
  /// at home if that is the same abroad. Nothing if there is no shard.
  static std::optional<HolderChoice> roomiest(
    const std::vector<HolderChoice>& home,
    const std::vector<HolderChoice>& abroad);

private:
  std::size_t m_turn = 0;
};

} // namespace cowslippin
