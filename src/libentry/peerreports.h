#pragma once

#include "libpeers/peermessage.h"
#include "libshards/shards.h"

#include <map>
#include <optional>

namespace cowslippin {

/// The last report of each peer about itself and the shards that it holds.
class PeerReports
{
public:
  void setZone(const VmId& vm, const ZoneName& zone);

  /// Records a heartbeat. Returns whether the shards that the peer holds, or
  /// their tokens, are others than in the heartbeat before.
  bool received(const VmId& vm, const PeerHeartbeat& beat, TimePoint now);
  /// The state of a peer of which a heartbeat was received.
  const MemberView& member(const VmId& vm) const;

  /// Free slots of a shard by its holder's last report; 0 if the peer didn't
  /// report the shard.
  unsigned freeSlots(const VmId& holder, const ShardId& shard) const;

  /// Takes slots off the holder's last report, for tasks that this daemon has
  /// submitted since. Without this, all jobs that arrive between two reports
  /// would find the same slots free.
  void useSlots(const VmId& holder, const ShardId& shard, std::size_t count);

  /// The age of the peer's last report; nothing if there is none.
  std::optional<Duration> age(const VmId& vm, TimePoint now) const;

  /// The digest of a shard's workers by its holder's last report.
  std::optional<ShardDigest> workersDigest(const VmId& holder,
                                           const ShardId& shard) const;

private:
  struct Peer
  {
    MemberView member;
    std::optional<TimePoint> reportedAt;
    std::map<ShardId, HeldShard> shards;
  };

  /// Null if the peer hasn't reported that it holds the shard.
  const HeldShard* find(const VmId& holder, const ShardId& shard) const;

  std::map<VmId, Peer> m_peers;
};

} // namespace cowslippin
