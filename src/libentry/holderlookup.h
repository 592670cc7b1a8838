#pragma once

#include "holderchoice.h"
#include "peerreports.h"

#include "libjobs/jobs.h"
#include "libshards/shards.h"

#include <functional>
#include <optional>
#include <set>

namespace cowslippin {

/// Which daemon a job, or a part of one, is handed to: what is known of the
/// holders of all shards, put before the `HolderChooser`.
class HolderLookup
{
public:
  /// Must outlive the lookup.
  struct Sources
  {
    const ShardTable& shards;
    const Scheduler& scheduler;
    const PeerReports& reports;
  };

  /// `isUp`: whether a daemon can be reached; not empty.
  HolderLookup(VmId self,
               ZoneName zone,
               Sources sources,
               std::function<bool(const VmId&)> isUp);

  /// The holder of a shard, if it can be reached.
  std::optional<VmId> reachable(const ShardId& shard) const;

  /// Whether any shard that is served has a holder that can be reached.
  bool hasAny() const;

  /// Whether there are workers, all of them in evacuated zones.
  bool areAllEvacuated() const;

  /// Who holds the shard or, if its zone has been divided anew, that which has
  /// workers of it.
  std::optional<HolderChoice> next(const ShardId& shard, TimePoint now) const;

  /// Where a new job goes, other than to the shards that have refused it and
  /// to evacuated zones.
  std::optional<HolderChoice> best(const std::set<ShardId>& refusedBy,
                                   TimePoint now);

private:
  HolderChoice choiceOf(const VmId& holder,
                        const ShardId& shard,
                        TimePoint now) const;

  const VmId m_self;
  const ZoneName m_zone;
  const Sources m_sources;
  const std::function<bool(const VmId&)> m_isUp;
  HolderChooser m_chooser;
};

} // namespace cowslippin
