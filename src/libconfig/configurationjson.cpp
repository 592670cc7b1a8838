#include "configjson.h"
#include "configuration.h"
#include "objectreader.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace cowslippin {

namespace {

constexpr std::int64_t maxOffset = std::numeric_limits<std::int64_t>::max();

template<class Entry, class ToJson>
nlohmann::json
listToJson(const std::vector<std::shared_ptr<const Entry>>& list, ToJson toJson)
{
  nlohmann::json array = nlohmann::json::array();
  for (const auto& entry : list) {
    array.push_back(toJson(*entry));
  }
  return array;
}

nlohmann::json
acceptedToJson(const AcceptedRecord& accepted)
{
  return { { "recordId", accepted.recordId().value() },
           { "revision", accepted.revision() } };
}

Result<AcceptedRecord>
acceptedFromJson(const nlohmann::json& json)
{
  ObjectReader reader(json);
  const RecordId recordId(reader.text("recordId").value_or(""));
  const std::int64_t revision = reader.number("revision", 0, 1, maxOffset);
  const std::vector<Problem> problems = reader.problems();
  if (!problems.empty()) {
    return failure(joinProblems(problems));
  }
  return AcceptedRecord(recordId, static_cast<Offset>(revision));
}

/// Reads the list in `member` with `fromJson` for each of its objects.
template<class Entry, class FromJson>
std::shared_ptr<const std::vector<std::shared_ptr<const Entry>>>
readList(ObjectReader& reader, const char* member, FromJson fromJson)
{
  auto list = std::make_shared<std::vector<std::shared_ptr<const Entry>>>();
  const nlohmann::json* array = reader.required(member);
  if (!array) {
    return list;
  }
  if (!array->is_array()) {
    reader.refuse(
      Problem::invalidField(member, array->type_name(), "a list of objects"));
    return list;
  }
  for (const nlohmann::json& item : *array) {
    if (!item.is_object()) {
      reader.refuse(
        Problem::invalidField(member, item.type_name(), "objects only"));
      continue;
    }
    const Result<Entry> entry = fromJson(item);
    if (entry) {
      list->push_back(std::make_shared<const Entry>(*entry));
    } else {
      reader.refuse(entry.error());
    }
  }
  return list;
}

/// Revisions come from records that were taken in already, each from another
/// one, and names stand in order.
template<class Entry>
void
checkEntries(ObjectReader& reader,
             const char* member,
             const std::vector<std::shared_ptr<const Entry>>& list,
             Offset offset)
{
  const auto isOutOfOrder = [](const auto& a, const auto& b) {
    return !(a->name() < b->name());
  };
  if (std::adjacent_find(list.begin(), list.end(), isOutOfOrder) !=
      list.end()) {
    reader.refuse(
      Problem::invalidField(member, "", "a list in ascending order of name"));
  }
  for (const auto& entry : list) {
    if (entry->revision() < 1 || entry->revision() > offset) {
      reader.refuse(Problem::invalidField(
        "revision",
        std::to_string(entry->revision()),
        "from 1 to the configuration's offset " + std::to_string(offset)));
    }
  }
}

void
checkAccepted(ObjectReader& reader,
              const Configuration::AcceptedList& list,
              Offset offset)
{
  const auto isOutOfOrder = [](const auto& a, const auto& b) {
    return a->revision() >= b->revision();
  };
  const bool isOrdered =
    std::adjacent_find(list.begin(), list.end(), isOutOfOrder) == list.end();
  const bool isPast = list.empty() || list.back()->revision() <= offset;
  if (!isOrdered || !isPast ||
      list.size() > Configuration::maxRememberedRecords) {
    reader.refuse(Problem::invalidField(
      "acceptedRecords",
      std::to_string(list.size()) + " records",
      "up to " + std::to_string(Configuration::maxRememberedRecords) +
        " records in ascending order of revision, none past the offset"));
  }
}

} // namespace

nlohmann::json
Configuration::published() const
{
  return { { "offset", m_offset },
           { "templates", listToJson(*m_templates, templateToJson) },
           { "organisations",
             listToJson(*m_organisations, organisationToJson) } };
}

nlohmann::json
Configuration::toJson() const
{
  nlohmann::json json = published();
  json["acceptedRecords"] = listToJson(*m_accepted, acceptedToJson);
  return json;
}

Result<Configuration>
Configuration::fromJson(const nlohmann::json& json)
{
  if (!json.is_object()) {
    return failure(Problem(ProblemKind::MalformedBody,
                           RunState::NotRun,
                           "A configuration is a JSON object"));
  }
  ObjectReader reader(json);
  Configuration read;
  reader.required("offset");
  read.m_offset = static_cast<Offset>(reader.number("offset", 0, 0, maxOffset));
  read.m_templates = readList<Template>(reader, "templates", templateFromJson);
  read.m_organisations = readList<OrganisationParameters>(
    reader, "organisations", organisationFromJson);
  read.m_accepted =
    readList<AcceptedRecord>(reader, "acceptedRecords", acceptedFromJson);
  checkEntries(reader, "templates", *read.m_templates, read.m_offset);
  checkEntries(reader, "organisations", *read.m_organisations, read.m_offset);
  checkAccepted(reader, *read.m_accepted, read.m_offset);
  const std::vector<Problem> problems = reader.problems();
  if (!problems.empty()) {
    return failure(joinProblems(problems));
  }
  return read;
}

} // namespace cowslippin
