#pragma once

#include "libpeers/peermessage.h"

#include <map>
#include <optional>
#include <set>

namespace cowslippin {

/// What the other daemons have told of themselves and of the shards that they
/// hold.
class PeerReports
{
public:
  void setZone(const VmId& vm, const ZoneName& zone);
  ZoneName zone(const VmId& vm) const;

  void received(const VmId& vm, const PeerBeat& beat, TimePoint now);

  /// Free places of a shard, by its holder's last report; 0 if it told of none.
  unsigned places(const VmId& holder, const ShardId& shard) const;

  /// How old the daemon's last report is; nothing if there is none.
  std::optional<Duration> age(const VmId& vm, TimePoint now) const;

  /// What the last other holder of a shard told of its workers.
  std::optional<ShardDigest> lastHoldersWorkers(const ShardId& shard) const;
  /// Forgets what was told of the workers of other shards.
  void keepWorkersOf(const std::set<ShardId>& shards);

private:
  struct Peer
  {
    ZoneName zone;
    std::optional<TimePoint> reportedAt;
    std::map<ShardId, unsigned> places;
  };

  std::map<VmId, Peer> m_peers;
  std::map<ShardId, ShardDigest> m_holdersWorkers;
};

} // namespace cowslippin
