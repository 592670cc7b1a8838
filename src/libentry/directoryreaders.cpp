#include "directoryreaders.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

DirectoryReaders::DirectoryReaders(VmId self, ZoneName zone, int slowness)
  : m_self(std::move(self))
  , m_zone(std::move(zone))
  , m_slowness(slowness)
{
}

bool
DirectoryReaders::isReader(const MemberIndex::Members& members) const
{
  const auto ranks = ranked(members);
  const auto place = std::find(ranks.begin(), ranks.end(), m_self);
  return place - ranks.begin() < static_cast<std::ptrdiff_t>(perZone);
}

std::vector<VmId>
DirectoryReaders::followers(const MemberIndex::Members& members) const
{
  if (!isReader(members))
    return {};
  std::vector<VmId> ranks = ranked(members);
  ranks.erase(ranks.begin(),
              ranks.begin() +
                static_cast<std::ptrdiff_t>(std::min(perZone, ranks.size())));
  return ranks;
}

std::vector<VmId>
DirectoryReaders::ranked(const MemberIndex::Members& members) const
{
  std::vector<std::pair<int, VmId>> ranks = { { m_slowness, m_self } };
  for (const auto& [vm, member] : members) {
    if (member.zone == m_zone && member.isReady && !member.isLeaving)
      ranks.emplace_back(member.slowness, vm);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<VmId> vms;
  vms.reserve(ranks.size());
  for (const auto& [slowness, vm] : ranks)
    vms.push_back(vm);
  return vms;
}

} // namespace cowslippin
