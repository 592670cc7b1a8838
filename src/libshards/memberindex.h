#pragma once

#include "memberview.h"

#include <map>

namespace cowslippin {

/// The other daemons that can be heard, found by what a decision asks for: who
/// says to hold a shard, and whether a zone has a daemon. Decisions are made at
/// each tick; what one costs must not grow with the number of daemons.
class MemberIndex
{
public:
  using Members = std::map<VmId, MemberView>;
  using Claimants = std::map<VmId, const MemberView*>;

  /// Adds a member or replaces what was known of it.
  void put(const MemberView& member);
  void erase(const VmId& id);

  const Members& all() const { return m_members; }
  /// Null if it isn't known.
  const MemberView* find(const VmId& id) const;
  /// Those who say that they hold the shard.
  const Claimants& claimants(const ShardId& shard) const;
  /// Whether a member of the zone stays.
  bool hasZone(const ZoneName& zone) const { return m_staying.count(zone) > 0; }

private:
  void link(const MemberView& member);
  void unlink(const MemberView& member);

  Members m_members;
  std::map<ShardId, Claimants> m_claimants;
  /// How many members of each zone stay.
  std::map<ZoneName, std::size_t> m_staying;
};

} // namespace cowslippin
