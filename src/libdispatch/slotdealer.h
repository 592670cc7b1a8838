#pragma once

#include "libcore/core.h"

#include <vector>

namespace cowslippin {

/// Deals the slots of a service's endpoints out to the daemons. Every daemon
/// works the whole deal out by itself from the platform's list and so needs no
/// message. Each has the same number of slots: in its own zone first, spread
/// over the endpoints there, then what other zones have left over. With fewer
/// slots than daemons, those left without one share one with another.
///
/// Lists that differ for a while make deals that overlap; then an endpoint
/// queues some of its attempts.
class SlotDealer
{
public:
  /// `vms` is the platform's list; entry VMs that are live take part, and
  /// `self` in any case.
  SlotDealer(const std::vector<VirtualMachine>& vms,
             const VmId& self,
             const ZoneName& selfZone);

  /// How many slots of each of these endpoints `self` has.
  std::vector<int> deal(const std::vector<const Endpoint*>& endpoints) const;

private:
  struct Daemon
  {
    VmId id;
    ZoneName zone;
  };

  std::vector<int> quotas(int slots) const;
  void giveAtLeastOne(std::vector<int>& own,
                      const std::vector<const Endpoint*>& endpoints,
                      const std::vector<std::size_t>& order) const;

  std::vector<Daemon> m_daemons;
  std::size_t m_self = 0;
};

} // namespace cowslippin
