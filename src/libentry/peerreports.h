#pragma once

#include "libpeers/peermessage.h"

#include <map>
#include <optional>

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

  /// What a daemon told last of the workers of a shard that it holds.
  std::optional<ShardDigest> workers(const VmId& holder,
                                     const ShardId& shard) const;

private:
  struct Peer
  {
    ZoneName zone;
    std::optional<TimePoint> reportedAt;
    std::map<ShardId, HeldShard> shards;
  };

  /// Null if the daemon hasn't told that it holds the shard.
  const HeldShard* find(const VmId& holder, const ShardId& shard) const;

  std::map<VmId, Peer> m_peers;
};

} // namespace cowslippin
