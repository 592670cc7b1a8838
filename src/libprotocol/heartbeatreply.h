#pragma once

#include "libcore/ids.h"

#include <cstdint>

namespace cowslippin {

/// The answer to a heartbeat. It tells as much of its sender as a heartbeat
/// does, so that one exchange an interval serves both sides.
class HeartbeatReply
{
public:
  struct Fields
  {
    /// The sequence of the heartbeat that is answered.
    std::uint64_t sequence = 0;
    /// The newest configuration the sender has in force.
    Offset configOffset = 0;
    /// How many tasks the sender holds, waiting and running.
    std::uint32_t load = 0;
  };

  HeartbeatReply() = default;
  explicit HeartbeatReply(Fields fields)
    : m_fields(fields)
  {
  }

  std::uint64_t sequence() const { return m_fields.sequence; }
  Offset configOffset() const { return m_fields.configOffset; }
  std::uint32_t load() const { return m_fields.load; }

  friend bool operator==(const HeartbeatReply& a, const HeartbeatReply& b)
  {
    return a.m_fields.sequence == b.m_fields.sequence &&
           a.m_fields.configOffset == b.m_fields.configOffset &&
           a.m_fields.load == b.m_fields.load;
  }
  friend bool operator!=(const HeartbeatReply& a, const HeartbeatReply& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
