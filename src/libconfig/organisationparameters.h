#pragma once

#include "libcore/core.h"

#include <cstddef>
#include <vector>

namespace cowslippin {

/// What operators set for one organisation: its share of the system, its size
/// limits and the availability zones it may use.
class OrganisationParameters
{
public:
  struct Fields
  {
    OrganisationName name;
    /// From 0 to 9; of two waiting tasks the more urgent one goes first.
    int urgency = 5;
    /// The organisation's share relative to the weights of the others.
    int weight = 100;
    int maxTasksPerJob = 2000;
    std::size_t maxBodyBytes = std::size_t{ 1 } << 20;
    /// How many of its tasks may run at once.
    int maxInFlight = 10'000;
    /// Where its tasks may run, in order of name; empty means everywhere.
    std::vector<ZoneName> allowedZones;
    /// The offset of the record that set this revision; 0 when it has not been
    /// published.
    Offset revision = 0;
  };

  explicit OrganisationParameters(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const OrganisationName& name() const { return m_fields.name; }
  int urgency() const { return m_fields.urgency; }
  int weight() const { return m_fields.weight; }
  int maxTasksPerJob() const { return m_fields.maxTasksPerJob; }
  std::size_t maxBodyBytes() const { return m_fields.maxBodyBytes; }
  int maxInFlight() const { return m_fields.maxInFlight; }
  const std::vector<ZoneName>& allowedZones() const
  {
    return m_fields.allowedZones;
  }
  Offset revision() const { return m_fields.revision; }

  /// Whether the organisation's tasks may run in `zone`.
  bool allowsZone(const ZoneName& zone) const;

  /// The same parameters as published at `revision`.
  OrganisationParameters withRevision(Offset revision) const;

  friend bool operator==(const OrganisationParameters& a,
                         const OrganisationParameters& b);
  friend bool operator!=(const OrganisationParameters& a,
                         const OrganisationParameters& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
