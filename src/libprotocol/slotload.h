#pragma once

#include "endpointload.h"

#include <utility>
#include <vector>

namespace cowslippin {

/// Tells a peer which slots of the endpoints the sender occupies.
class SlotLoad
{
public:
  struct Fields
  {
    std::vector<EndpointLoad> endpoints;
  };

  SlotLoad() = default;
  explicit SlotLoad(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const std::vector<EndpointLoad>& endpoints() const
  {
    return m_fields.endpoints;
  }

  friend bool operator==(const SlotLoad& a, const SlotLoad& b)
  {
    return a.m_fields.endpoints == b.m_fields.endpoints;
  }
  friend bool operator!=(const SlotLoad& a, const SlotLoad& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
