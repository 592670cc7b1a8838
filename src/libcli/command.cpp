#include "command.h"

#include <tuple>
#include <utility>

namespace cowslippin {

Duration
Command::replyTimeout() const
{
  return m_fields.timeout + m_fields.wait +
         m_fields.deadline.value_or(Duration::zero());
}

Command
Command::withKey(std::string key) const
{
  Command copy = *this;
  copy.m_fields.key = std::move(key);
  return copy;
}

bool
operator==(const Command& a, const Command& b)
{
  const auto tied = [](const Command::Fields& f) {
    return std::tie(f.kind,
                    f.daemon,
                    f.json,
                    f.timeout,
                    f.name,
                    f.organisation,
                    f.body,
                    f.revision,
                    f.count,
                    f.key,
                    f.deadline,
                    f.wait,
                    f.notRepeatable,
                    f.waitForAnswer);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
