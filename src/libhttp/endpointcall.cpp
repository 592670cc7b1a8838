#include "endpointcall.h"

#include <tuple>
#include <utility>

namespace cowslippin {

EndpointCall::EndpointCall(Fields fields)
  : m_fields(std::move(fields))
{
}

bool
operator==(const EndpointCall& a, const EndpointCall& b)
{
  const auto tied = [](const EndpointCall::Fields& f) {
    return std::tie(
      f.endpoint, f.path, f.contentType, f.body, f.headers, f.timeout);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
