#pragma once

#include "address.h"
#include "ids.h"

namespace cowslippin {

/// Whether a VM or endpoint may be given new work.
enum class Availability
{
  Live,
  Leaving,
};

/// An instance of a service that runs tasks, as the platform lists it.
class Endpoint
{
public:
  struct Fields
  {
    EndpointId id;
    ServiceName service;
    ZoneName zone;
    Address address;
    /// How many tasks it runs at once.
    int slots = 1;
    /// How many connections it accepts at once.
    int connections = 1;
    Availability availability = Availability::Live;
  };

  explicit Endpoint(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const EndpointId& id() const { return m_fields.id; }
  const ServiceName& service() const { return m_fields.service; }
  const ZoneName& zone() const { return m_fields.zone; }
  const Address& address() const { return m_fields.address; }
  int slots() const { return m_fields.slots; }
  int connections() const { return m_fields.connections; }
  bool isLeaving() const
  {
    return m_fields.availability == Availability::Leaving;
  }

  friend bool operator==(const Endpoint& a, const Endpoint& b);
  friend bool operator!=(const Endpoint& a, const Endpoint& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
