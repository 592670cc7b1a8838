#pragma once

#include "organisationparameters.h"
#include "template.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace cowslippin {

/// The most members of `allowedZones`.
constexpr std::size_t maxAllowedZones = 64;

/// The longest name of a template, organisation, service or zone.
constexpr std::size_t maxConfigNameLength = 64;

/// Every bad field of a template's JSON text, or nothing when it is good. A
/// member that is not known is a bad field too.
std::vector<Problem>
validateTemplate(const std::string& text, const TemplateName& name);

/// Every bad field of the JSON text of an organisation's parameters.
std::vector<Problem>
validateOrganisation(const std::string& text, const OrganisationName& name);

/// Reads a template as operators write it, without name and revision. The
/// problem's detail names every bad field with its value and what is allowed;
/// its field is the first of them.
Result<Template>
parseTemplate(const std::string& text, const TemplateName& name);

/// Reads an organisation's parameters as operators write them.
Result<OrganisationParameters>
parseOrganisation(const std::string& text, const OrganisationName& name);

/// The template with all its members, `name` and `revision` among them.
nlohmann::json
templateToJson(const Template& value);

/// The parameters with all their members, `name` and `revision` among them.
nlohmann::json
organisationToJson(const OrganisationParameters& value);

/// Reads what `templateToJson` wrote.
Result<Template>
templateFromJson(const nlohmann::json& json);

/// Reads what `organisationToJson` wrote.
Result<OrganisationParameters>
organisationFromJson(const nlohmann::json& json);

} // namespace cowslippin
