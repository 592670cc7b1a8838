#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// What an organisation is entitled to when work has to wait.
class OrganisationShare
{
public:
  /// The urgencies run from 0 to this.
  static constexpr int maxUrgency = 9;

  struct Fields
  {
    /// The urgency of its tasks that state none.
    int urgency = 0;
    /// Its part of the capacity against the weights of the others.
    double weight = 1.0;
    /// How many of its tasks may be with endpoints at once.
    int maxInFlight = 1 << 30;
  };

  OrganisationShare() = default;
  explicit OrganisationShare(Fields fields)
    : m_fields(fields)
  {
  }

  int urgency() const { return m_fields.urgency; }
  double weight() const { return m_fields.weight; }
  int maxInFlight() const { return m_fields.maxInFlight; }

  friend bool operator==(const OrganisationShare& a, const OrganisationShare& b)
  {
    return a.urgency() == b.urgency() && a.weight() == b.weight() &&
           a.maxInFlight() == b.maxInFlight();
  }
  friend bool operator!=(const OrganisationShare& a, const OrganisationShare& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
