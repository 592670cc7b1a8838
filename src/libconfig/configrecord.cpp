#include "configrecord.h"

#include "configjson.h"
#include "objectreader.h"

#include "libjson/json.h"

#include <limits>

namespace cowslippin {

namespace {

/// A record may be a snapshot of the whole configuration.
constexpr ParseLimits recordLimits{ std::size_t(64) << 20, 16, 4'000'000 };

Problem
malformed(const char* detail)
{
  return Problem(ProblemKind::MalformedBody, RunState::NotRun, detail);
}

nlohmann::json
contentToJson(const Template& value)
{
  return { { "template", templateToJson(value) } };
}

nlohmann::json
contentToJson(const OrganisationParameters& value)
{
  return { { "organisation", organisationToJson(value) } };
}

nlohmann::json
contentToJson(const ConfigSnapshot& value)
{
  return { { "snapshot", value.configuration().toJson() } };
}

Result<ConfigRecord::Content>
templateContent(const nlohmann::json& json)
{
  return templateFromJson(json).map(
    [](Template value) { return ConfigRecord::Content(std::move(value)); });
}

Result<ConfigRecord::Content>
organisationContent(const nlohmann::json& json)
{
  return organisationFromJson(json).map([](OrganisationParameters value) {
    return ConfigRecord::Content(std::move(value));
  });
}

Result<ConfigRecord::Content>
snapshotContent(const nlohmann::json& json)
{
  return Configuration::fromJson(json).map([](Configuration value) {
    return ConfigRecord::Content(ConfigSnapshot(std::move(value)));
  });
}

struct ContentKind
{
  const char* member;
  Result<ConfigRecord::Content> (*read)(const nlohmann::json&);
};

constexpr ContentKind contentKinds[] = {
  { "template", templateContent },
  { "organisation", organisationContent },
  { "snapshot", snapshotContent },
};

/// Reads the content, of which a record holds exactly one kind.
Result<ConfigRecord::Content>
readContent(ObjectReader& reader, const nlohmann::json& json)
{
  for (const ContentKind& kind : contentKinds) {
    if (!json.contains(kind.member)) {
      continue;
    }
    const nlohmann::json* content = reader.required(kind.member);
    if (!content->is_object()) {
      return failure(malformed("The record's content is not an object"));
    }
    return kind.read(*content);
  }
  return failure(malformed("The record has no content that is known"));
}

RecordId
readRecordId(ObjectReader& reader)
{
  RecordId recordId(reader.text("recordId").value_or(""));
  if (recordId.isEmpty() ||
      recordId.value().size() > ConfigRecord::maxRecordIdLength) {
    reader.refuse(Problem::invalidField(
      "recordId", recordId.value().substr(0, 80), "1 to 64 bytes"));
  }
  return recordId;
}

} // namespace

std::string
encode(const ConfigRecord& record)
{
  nlohmann::json json =
    std::visit([](const auto& content) { return contentToJson(content); },
               record.content());
  json["recordId"] = record.recordId().value();
  json["expectedRevision"] = record.expectedRevision();
  return writeJson(json);
}

Result<ConfigRecord>
parseConfigRecord(const std::string& text)
{
  const auto parsed = parseJson(text, "record", recordLimits);
  if (!parsed) {
    return failure(parsed.error());
  }
  const nlohmann::json& json = *parsed;
  if (!json.is_object()) {
    return failure(malformed("The record is not a JSON object"));
  }
  ObjectReader reader(json);
  RecordId recordId = readRecordId(reader);
  const std::int64_t expected = reader.number(
    "expectedRevision", 0, 0, std::numeric_limits<std::int64_t>::max());
  Result<ConfigRecord::Content> content = readContent(reader, json);
  if (!content) {
    return failure(content.error());
  }
  const std::vector<Problem> problems = reader.problems();
  if (!problems.empty()) {
    return failure(joinProblems(problems));
  }
  return ConfigRecord(
    std::move(recordId), static_cast<Offset>(expected), std::move(*content));
}

} // namespace cowslippin
