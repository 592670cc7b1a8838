#include "slotdealer.h"

#include <algorithm>
#include <numeric>

namespace cowslippin {

namespace {

/// A deal in progress.
struct Deal
{
  std::vector<int> quotas;
  /// For each endpoint, its slots that are not dealt yet.
  std::vector<int> left;
  std::vector<int> own;
};

/// Deals the slots of these endpoints one by one to these daemons in turn,
/// until the slots or the quotas are used up.
void
dealInTurn(Deal& deal,
           const std::vector<std::size_t>& endpoints,
           std::vector<std::size_t> daemons,
           std::size_t self)
{
  std::size_t turn = 0;
  bool anyLeft = true;
  while (anyLeft) {
    anyLeft = false;
    for (const std::size_t endpoint : endpoints) {
      while (!daemons.empty()) {
        turn %= daemons.size();
        if (deal.quotas[daemons[turn]] > 0) {
          break;
        }
        daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(turn));
      }
      if (daemons.empty()) {
        return;
      }
      if (deal.left[endpoint] == 0) {
        continue;
      }
      --deal.left[endpoint];
      --deal.quotas[daemons[turn]];
      deal.own[endpoint] += daemons[turn] == self ? 1 : 0;
      ++turn;
      anyLeft = true;
    }
  }
}

} // namespace

SlotDealer::SlotDealer(const std::vector<VirtualMachine>& vms,
                       const VmId& self,
                       const ZoneName& selfZone)
{
  m_daemons.push_back({ self, selfZone });
  for (const VirtualMachine& vm : vms) {
    const bool takesPart =
      vm.role() == VmRole::Entry && !vm.isLeaving() && vm.id() != self;
    if (takesPart) {
      m_daemons.push_back({ vm.id(), vm.zone() });
    }
  }
  std::sort(m_daemons.begin(),
            m_daemons.end(),
            [](const Daemon& a, const Daemon& b) { return a.id < b.id; });
  while (m_daemons[m_self].id != self) {
    ++m_self;
  }
}

std::vector<int>
SlotDealer::quotas(int slots) const
{
  const int count = static_cast<int>(m_daemons.size());
  std::vector<int> quotas(m_daemons.size(), slots / count);
  for (int i = 0; i < slots % count; ++i) {
    ++quotas[static_cast<std::size_t>(i)];
  }
  return quotas;
}

std::vector<int>
SlotDealer::deal(const std::vector<const Endpoint*>& endpoints) const
{
  std::vector<std::size_t> order(endpoints.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return endpoints[a]->id() < endpoints[b]->id();
  });
  Deal deal;
  deal.own.assign(endpoints.size(), 0);
  int slots = 0;
  std::vector<ZoneName> zones;
  for (const Endpoint* endpoint : endpoints) {
    deal.left.push_back(endpoint->isLeaving() ? 0 : endpoint->slots());
    slots += deal.left.back();
    zones.push_back(endpoint->zone());
  }
  deal.quotas = quotas(slots);
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  for (const ZoneName& zone : zones) {
    std::vector<std::size_t> there;
    std::copy_if(order.begin(),
                 order.end(),
                 std::back_inserter(there),
                 [&](auto place) { return endpoints[place]->zone() == zone; });
    std::vector<std::size_t> daemons;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      if (m_daemons[i].zone == zone) {
        daemons.push_back(i);
      }
    }
    dealInTurn(deal, there, daemons, m_self);
  }
  std::vector<std::size_t> all(m_daemons.size());
  std::iota(all.begin(), all.end(), 0);
  dealInTurn(deal, order, all, m_self);
  giveAtLeastOne(deal.own, endpoints, order);
  return deal.own;
}

void
SlotDealer::giveAtLeastOne(std::vector<int>& own,
                           const std::vector<const Endpoint*>& endpoints,
                           const std::vector<std::size_t>& order) const
{
  if (std::any_of(
        own.begin(), own.end(), [](int slots) { return slots > 0; })) {
    return;
  }
  std::vector<std::size_t> near;
  std::vector<std::size_t> live;
  for (const std::size_t place : order) {
    const Endpoint& endpoint = *endpoints[place];
    if (!endpoint.isLeaving() && endpoint.slots() > 0) {
      live.push_back(place);
      if (endpoint.zone() == m_daemons[m_self].zone) {
        near.push_back(place);
      }
    }
  }
  const std::vector<std::size_t>& candidates = near.empty() ? live : near;
  if (!candidates.empty()) {
    own[candidates[m_self % candidates.size()]] = 1;
  }
}

} // namespace cowslippin
