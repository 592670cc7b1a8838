#pragma once

#include "memberview.h"

#include <map>

namespace cowslippin {

/// The other daemons that can be reached, indexed by the shards that they claim
/// to hold and by availability zone. Shard decisions are made at each tick, so
/// that the cost of one must not grow with the number of daemons.
class MemberIndex
{
public:
  using Members = std::map<VmId, MemberView>;
  using Claimants = std::map<VmId, const MemberView*>;

  /// Adds a member or replaces its view.
  void put(const MemberView& member);
  void erase(const VmId& id);

  const Members& all() const { return m_members; }
  /// Null if the member isn't known.
  const MemberView* find(const VmId& id) const;
  /// The members that claim to hold the shard.
  const Claimants& claimants(const ShardId& shard) const;
  /// Whether the zone has a member that isn't leaving.
  bool hasActiveMember(const ZoneName& zone) const
  {
    return m_activeCounts.count(zone) > 0;
  }

private:
  void addToIndexes(const MemberView& member);
  void removeFromIndexes(const MemberView& member);

  Members m_members;
  std::map<ShardId, Claimants> m_claimants;
  /// Number of members of each zone that aren't leaving.
  std::map<ZoneName, std::size_t> m_activeCounts;
};

} // namespace cowslippin
