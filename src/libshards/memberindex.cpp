#include "memberindex.h"

namespace cowslippin {

void
MemberIndex::put(const MemberView& member)
{
  const auto [known, isNew] = m_members.try_emplace(member.id);
  if (!isNew) {
    if (known->second == member)
      return;
    removeFromIndexes(known->second);
  }
  known->second = member;
  addToIndexes(known->second);
}

void
MemberIndex::erase(const VmId& id)
{
  const auto known = m_members.find(id);
  if (known == m_members.end())
    return;
  removeFromIndexes(known->second);
  m_members.erase(known);
}

const MemberView*
MemberIndex::find(const VmId& id) const
{
  const auto known = m_members.find(id);
  return known == m_members.end() ? nullptr : &known->second;
}

const MemberIndex::Claimants&
MemberIndex::claimants(const ShardId& shard) const
{
  static const Claimants nobody;
  const auto found = m_claimants.find(shard);
  return found == m_claimants.end() ? nobody : found->second;
}

void
MemberIndex::addToIndexes(const MemberView& member)
{
  for (const auto& [shard, token] : member.shards)
    m_claimants[shard][member.id] = &member;
  if (!member.isLeaving)
    ++m_activeCounts[member.zone];
}

void
MemberIndex::removeFromIndexes(const MemberView& member)
{
  for (const auto& [shard, token] : member.shards) {
    const auto found = m_claimants.find(shard);
    found->second.erase(member.id);
    if (found->second.empty())
      m_claimants.erase(found);
  }
  const auto active = m_activeCounts.find(member.zone);
  if (!member.isLeaving && --active->second == 0)
    m_activeCounts.erase(active);
}

} // namespace cowslippin
