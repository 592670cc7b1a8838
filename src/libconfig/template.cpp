#include "template.h"

#include <tuple>

namespace cowslippin {

Template
Template::withRevision(Offset revision) const
{
  Template copy = *this;
  copy.m_fields.revision = revision;
  return copy;
}

bool
operator==(const Template& a, const Template& b)
{
  const auto tied = [](const Template::Fields& f) {
    return std::tie(f.name,
                    f.service,
                    f.path,
                    f.repeatable,
                    f.declaredRunTime,
                    f.taskTimeout,
                    f.cores,
                    f.memoryMb,
                    f.maxBodyBytes,
                    f.revision);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
