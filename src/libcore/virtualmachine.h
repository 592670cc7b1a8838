#pragma once

#include "endpoint.h"

namespace cowslippin {

/// What a VM is there for.
enum class VmRole
{
  /// Runs a daemon of this system.
  Entry,
  /// Runs tasks; its endpoints are listed by themselves.
  Worker,
};

/// A VM as the platform lists it.
class VirtualMachine
{
public:
  struct Fields
  {
    VmId id;
    VmRole role = VmRole::Entry;
    ZoneName zone;
    /// Where an entry VM's daemon answers its peers; unset on a worker.
    Address peerAddress;
    /// Where an entry VM's daemon answers callers; unset on a worker.
    Address httpAddress;
    Availability availability = Availability::Live;
    /// What a worker has; 0 when the list does not tell.
    int cores = 0;
    int memoryMb = 0;
  };

  explicit VirtualMachine(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const VmId& id() const { return m_fields.id; }
  VmRole role() const { return m_fields.role; }
  const ZoneName& zone() const { return m_fields.zone; }
  const Address& peerAddress() const { return m_fields.peerAddress; }
  const Address& httpAddress() const { return m_fields.httpAddress; }
  bool isLeaving() const
  {
    return m_fields.availability == Availability::Leaving;
  }

  int cores() const { return m_fields.cores; }
  int memoryMb() const { return m_fields.memoryMb; }

  friend bool operator==(const VirtualMachine& a, const VirtualMachine& b);
  friend bool operator!=(const VirtualMachine& a, const VirtualMachine& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
