#pragma once

#include "libconfig/config.h"

#include <string>

namespace cowslippin {

/// A template named `name` whose run time tells revisions apart.
inline Template
makeTemplate(const std::string& name, int runTimeMs = 200)
{
  Template::Fields fields;
  fields.name = TemplateName(name);
  fields.service = ServiceName("booking");
  fields.declaredRunTime = std::chrono::milliseconds(runTimeMs);
  return Template(fields);
}

/// Parameters of the organisation `name` whose weight tells revisions apart.
inline OrganisationParameters
makeOrganisation(const std::string& name, int weight = 100)
{
  OrganisationParameters::Fields fields;
  fields.name = OrganisationName(name);
  fields.weight = weight;
  fields.allowedZones = { ZoneName("a"), ZoneName("b") };
  return OrganisationParameters(fields);
}

/// A record with the id `id`.
inline ConfigRecord
makeRecord(const std::string& id,
           Offset expected,
           ConfigRecord::Content content)
{
  return ConfigRecord(RecordId(id), expected, std::move(content));
}

/// A snapshot of `configuration`.
inline ConfigRecord
makeSnapshot(const std::string& id, const Configuration& configuration)
{
  return ConfigRecord(RecordId(id), 0, ConfigSnapshot(configuration));
}

} // namespace cowslippin
