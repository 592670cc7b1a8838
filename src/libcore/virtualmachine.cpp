#include "virtualmachine.h"

#include <tuple>

namespace cowslippin {

bool
operator==(const VirtualMachine& a, const VirtualMachine& b)
{
  const auto tied = [](const VirtualMachine::Fields& f) {
    return std::tie(f.id,
                    f.role,
                    f.zone,
                    f.peerAddress,
                    f.httpAddress,
                    f.availability,
                    f.cores,
                    f.memoryMb);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
