#include "organisationparameters.h"

#include <algorithm>
#include <tuple>

namespace cowslippin {

bool
OrganisationParameters::allowsZone(const ZoneName& zone) const
{
  const std::vector<ZoneName>& zones = m_fields.allowedZones;
  return zones.empty() ||
         std::find(zones.begin(), zones.end(), zone) != zones.end();
}

OrganisationParameters
OrganisationParameters::withRevision(Offset revision) const
{
  OrganisationParameters copy = *this;
  copy.m_fields.revision = revision;
  return copy;
}

bool
operator==(const OrganisationParameters& a, const OrganisationParameters& b)
{
  const auto tied = [](const OrganisationParameters::Fields& f) {
    return std::tie(f.name,
                    f.urgency,
                    f.weight,
                    f.maxTasksPerJob,
                    f.maxBodyBytes,
                    f.maxInFlight,
                    f.allowedZones,
                    f.revision);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
