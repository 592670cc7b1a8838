#include "endpoint.h"

#include <tuple>

namespace cowslippin {

bool
operator==(const Endpoint& a, const Endpoint& b)
{
  const auto tied = [](const Endpoint::Fields& f) {
    return std::tie(f.id,
                    f.service,
                    f.zone,
                    f.address,
                    f.slots,
                    f.connections,
                    f.availability);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
