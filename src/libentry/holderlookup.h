#pragma once

#include "holderchoice.h"
#include "peerreports.h"

#include "libjobs/jobs.h"
#include "libshards/shards.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace cowslippin {

/// Chooses the daemon that a job, or a part of one, is submitted to. Collects
/// what is known of the holders of all shards for the `HolderChooser`.
class HolderLookup
{
public:
  /// The sources must outlive the lookup.
  struct Sources
  {
    const ShardTable& shards;
    const Scheduler& scheduler;
    const PeerReports& reports;
  };

  /// How many holders were chosen for jobs, by the zone of the holder.
  struct Placements
  {
    std::uint64_t inOwnZone = 0;
    std::uint64_t inOtherZones = 0;
  };

  /// `isConnected` tells whether a daemon can be reached; it must not be empty.
  HolderLookup(VmId self,
               ZoneName zone,
               Sources sources,
               std::function<bool(const VmId&)> isConnected);

  /// The holder of a shard, if it can be reached.
  std::optional<VmId> reachable(const ShardId& shard) const;

  /// Whether any served shard has a holder that can be reached.
  bool hasReachableHolder() const;

  /// Whether there are workers and all of them are in evacuated zones.
  bool areAllZonesEvacuated() const;

  /// The reachable holder of a shard. If the shard's zone has been divided
  /// anew, the holder of the shard that has its workers now.
  std::optional<HolderChoice> currentHolder(const ShardId& shard,
                                            TimePoint now) const;

  /// The holder for a new job with this many tasks, among shards that haven't
  /// refused it and whose zone isn't evacuated.
  std::optional<HolderChoice> bestHolder(const std::set<ShardId>& refusedBy,
                                         std::size_t tasks,
                                         TimePoint now);
  const Placements& placements() const { return m_placements; }

private:
  HolderChoice makeChoice(const VmId& holder,
                          const ShardId& shard,
                          TimePoint now) const;

  const VmId m_self;
  const ZoneName m_zone;
  const Sources m_sources;
  const std::function<bool(const VmId&)> m_isConnected;
  HolderChooser m_chooser;
  Placements m_placements;
};

} // namespace cowslippin
