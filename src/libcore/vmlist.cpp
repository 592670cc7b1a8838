#include "vmlist.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

VmList::VmList(std::uint64_t version,
               std::vector<VirtualMachine> vms,
               std::vector<Endpoint> endpoints)
  : m_version(version)
  , m_vms(std::move(vms))
  , m_endpoints(std::move(endpoints))
{
}

const VirtualMachine*
VmList::find(const VmId& id) const
{
  const auto found =
    std::find_if(m_vms.begin(), m_vms.end(), [&](const VirtualMachine& vm) {
      return vm.id() == id;
    });
  return found == m_vms.end() ? nullptr : &*found;
}

bool
operator==(const VmList& a, const VmList& b)
{
  return a.m_version == b.m_version && a.m_vms == b.m_vms &&
         a.m_endpoints == b.m_endpoints;
}

} // namespace cowslippin
