#include "callend.h"

#include <tuple>
#include <utility>

namespace cowslippin {

CallEnd::CallEnd(Fields fields)
  : m_fields(std::move(fields))
{
}

bool
operator==(const CallEnd& a, const CallEnd& b)
{
  const auto tied = [](const CallEnd::Fields& f) {
    return std::tie(f.outcome,
                    f.notSentReason,
                    f.status,
                    f.contentType,
                    f.body,
                    f.slotsFree,
                    f.endpointReachable,
                    f.elapsed,
                    f.detail);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
