#pragma once

#include "virtualmachine.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

/// One reading of the platform's list of VMs and endpoints. The list lags
/// behind what is really there.
class VmList
{
public:
  VmList() = default;
  VmList(std::uint64_t version,
         std::vector<VirtualMachine> vms,
         std::vector<Endpoint> endpoints);

  /// Rises with every change of the list.
  std::uint64_t version() const { return m_version; }
  const std::vector<VirtualMachine>& vms() const { return m_vms; }
  const std::vector<Endpoint>& endpoints() const { return m_endpoints; }

  /// The VM with this id, or null.
  const VirtualMachine* find(const VmId& id) const;

  friend bool operator==(const VmList& a, const VmList& b);
  friend bool operator!=(const VmList& a, const VmList& b) { return !(a == b); }

private:
  std::uint64_t m_version = 0;
  std::vector<VirtualMachine> m_vms;
  std::vector<Endpoint> m_endpoints;
};

} // namespace cowslippin
