#pragma once

#include "libcore/ids.h"

#include <cstdint>
#include <utility>

namespace cowslippin {

/// What one VM has under way at one endpoint.
class EndpointLoad
{
public:
  struct Fields
  {
    EndpointId endpoint;
    /// Tasks of the sender that occupy a slot.
    std::uint32_t running = 0;
    /// Tasks of the sender that wait for a slot.
    std::uint32_t waiting = 0;
  };

  EndpointLoad() = default;
  explicit EndpointLoad(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const EndpointId& endpoint() const { return m_fields.endpoint; }
  std::uint32_t running() const { return m_fields.running; }
  std::uint32_t waiting() const { return m_fields.waiting; }

  friend bool operator==(const EndpointLoad& a, const EndpointLoad& b)
  {
    return a.m_fields.endpoint == b.m_fields.endpoint &&
           a.m_fields.running == b.m_fields.running &&
           a.m_fields.waiting == b.m_fields.waiting;
  }
  friend bool operator!=(const EndpointLoad& a, const EndpointLoad& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
