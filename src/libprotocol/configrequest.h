#pragma once

#include "libcore/ids.h"

namespace cowslippin {

/// Asks a peer for a configuration newer than the one the sender has.
class ConfigRequest
{
public:
  struct Fields
  {
    Offset haveOffset = 0;
  };

  ConfigRequest() = default;
  explicit ConfigRequest(Fields fields)
    : m_fields(fields)
  {
  }

  Offset haveOffset() const { return m_fields.haveOffset; }

  friend bool operator==(const ConfigRequest& a, const ConfigRequest& b)
  {
    return a.m_fields.haveOffset == b.m_fields.haveOffset;
  }
  friend bool operator!=(const ConfigRequest& a, const ConfigRequest& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
