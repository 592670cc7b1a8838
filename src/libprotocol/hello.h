#pragma once

#include "libcore/ids.h"

#include <utility>

namespace cowslippin {

/// The first message on a connection: who is at the other end. Its encoding
/// also carries the protocol version.
class Hello
{
public:
  struct Fields
  {
    VmId vm;
    Incarnation incarnation;
    ZoneName zone;
    /// The newest configuration the sender has in force.
    Offset configOffset = 0;
  };

  Hello() = default;
  explicit Hello(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const VmId& vm() const { return m_fields.vm; }
  const Incarnation& incarnation() const { return m_fields.incarnation; }
  const ZoneName& zone() const { return m_fields.zone; }
  Offset configOffset() const { return m_fields.configOffset; }

  friend bool operator==(const Hello& a, const Hello& b)
  {
    return a.m_fields.vm == b.m_fields.vm &&
           a.m_fields.incarnation == b.m_fields.incarnation &&
           a.m_fields.zone == b.m_fields.zone &&
           a.m_fields.configOffset == b.m_fields.configOffset;
  }
  friend bool operator!=(const Hello& a, const Hello& b) { return !(a == b); }

private:
  Fields m_fields;
};

} // namespace cowslippin
