#include "workerlistreaders.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

WorkerListReaders::WorkerListReaders(VmId self, ZoneName zone, int slowness)
  : m_self(std::move(self))
  , m_zone(std::move(zone))
  , m_slowness(slowness)
{
}

bool
WorkerListReaders::isReader(const MemberIndex::Members& members) const
{
  const auto ranking = rankedDaemons(members);
  const auto position = std::find(ranking.begin(), ranking.end(), m_self);
  return position - ranking.begin() < static_cast<std::ptrdiff_t>(perZone);
}

std::vector<VmId>
WorkerListReaders::followers(const MemberIndex::Members& members) const
{
  if (!isReader(members))
    return {};
  std::vector<VmId> ranking = rankedDaemons(members);
  ranking.erase(ranking.begin(),
                ranking.begin() + static_cast<std::ptrdiff_t>(
                                    std::min(perZone, ranking.size())));
  return ranking;
}

std::vector<VmId>
WorkerListReaders::rankedDaemons(const MemberIndex::Members& members) const
{
  std::vector<std::pair<int, VmId>> ranking = { { m_slowness, m_self } };
  for (const auto& [vm, member] : members) {
    if (member.zone == m_zone && member.isReady && !member.isLeaving)
      ranking.emplace_back(member.slowness, vm);
  }
  std::sort(ranking.begin(), ranking.end());
  std::vector<VmId> vms;
  vms.reserve(ranking.size());
  for (const auto& [slowness, vm] : ranking)
    vms.push_back(vm);
  return vms;
}

} // namespace cowslippin
