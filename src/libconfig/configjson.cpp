#include "configjson.h"

#include "objectreader.h"

#include "libjson/json.h"

#include <algorithm>
#include <limits>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds maxRunTime = std::chrono::minutes(10);
constexpr milliseconds maxTaskTimeout = std::chrono::hours(1);
constexpr int maxCores = 1024;
constexpr ParseLimits bodyLimits{ std::size_t(1) << 20, 16, 100'000 };
constexpr int maxMemoryMb = 1 << 24;
constexpr std::int64_t maxBodyLimit = std::int64_t{ 64 } << 20;
constexpr std::size_t maxPathLength = 256;
constexpr int maxUrgency = 9;
constexpr int maxWeight = 1'000'000;
constexpr int maxTasks = 2000;
constexpr int maxInFlightLimit = 1'000'000;

/// A value that was read, and everything that was wrong with it.
template<class T>
struct Reading
{
  T value;
  std::vector<Problem> problems;
};

template<class T>
Result<T>
toResult(Reading<T> reading)
{
  if (!reading.problems.empty()) {
    return failure(joinProblems(reading.problems));
  }
  return std::move(reading.value);
}

/// The object that `text` holds.
Result<nlohmann::json>
parseObject(const std::string& text)
{
  auto json = parseJson(text, "body", bodyLimits);
  if (json && !json->is_object()) {
    return failure(Problem(ProblemKind::MalformedBody,
                           RunState::NotRun,
                           "The body is not a JSON object"));
  }
  return json;
}

void
checkName(ObjectReader& reader, const char* member, const std::string& name)
{
  if (!isConfigName(name)) {
    reader.refuse(Problem::invalidField(member, name, allowedConfigName));
  }
}

bool
isPathCharacter(char c)
{
  return c > ' ' && c < '\x7f' && c != '#';
}

bool
isPath(const std::string& path)
{
  return !path.empty() && path.front() == '/' && path.size() <= maxPathLength &&
         std::all_of(path.begin(), path.end(), isPathCharacter);
}

ServiceName
readService(ObjectReader& reader)
{
  const std::optional<std::string> service = reader.text("service");
  if (service) {
    checkName(reader, "service", *service);
  }
  return ServiceName(service.value_or(""));
}

std::string
readPath(ObjectReader& reader, const std::string& fallback)
{
  std::string path = reader.text("path", fallback);
  if (!isPath(path)) {
    reader.refuse(Problem::invalidField(
      "path", path, "a URL path of up to 256 characters that starts with /"));
  }
  return path;
}

void
readTimes(ObjectReader& reader, Template::Fields& fields)
{
  fields.declaredRunTime = reader.milliseconds(
    "declaredRunTimeMs", fields.declaredRunTime, maxRunTime);
  fields.taskTimeout =
    reader.milliseconds("taskTimeoutMs",
                        std::max(fields.taskTimeout, fields.declaredRunTime),
                        maxTaskTimeout);
  if (fields.taskTimeout < fields.declaredRunTime) {
    reader.refuse(Problem::invalidField(
      "taskTimeoutMs",
      std::to_string(fields.taskTimeout / milliseconds(1)),
      "nothing shorter than declaredRunTimeMs"));
  }
}

std::size_t
readMaxBodyBytes(ObjectReader& reader, std::size_t fallback)
{
  return static_cast<std::size_t>(reader.number(
    "maxBodyBytes", static_cast<std::int64_t>(fallback), 1, maxBodyLimit));
}

Template::Fields
readTemplate(ObjectReader& reader, const TemplateName& name)
{
  Template::Fields fields;
  fields.name = name;
  checkName(reader, "name", name.value());
  fields.service = readService(reader);
  fields.path = readPath(reader, fields.path);
  fields.repeatable = reader.boolean("repeatable", fields.repeatable);
  readTimes(reader, fields);
  fields.cores =
    static_cast<int>(reader.number("cores", fields.cores, 1, maxCores));
  fields.memoryMb = static_cast<int>(
    reader.number("memoryMb", fields.memoryMb, 1, maxMemoryMb));
  fields.maxBodyBytes = readMaxBodyBytes(reader, fields.maxBodyBytes);
  return fields;
}

std::vector<ZoneName>
readZones(ObjectReader& reader)
{
  std::vector<ZoneName> zones;
  for (const std::string& zone :
       reader.texts("allowedZones", maxAllowedZones)) {
    checkName(reader, "allowedZones", zone);
    zones.emplace_back(zone);
  }
  std::sort(zones.begin(), zones.end());
  return zones;
}

OrganisationParameters::Fields
readOrganisation(ObjectReader& reader, const OrganisationName& name)
{
  OrganisationParameters::Fields fields;
  fields.name = name;
  checkName(reader, "name", name.value());
  fields.urgency =
    static_cast<int>(reader.number("urgency", fields.urgency, 0, maxUrgency));
  fields.weight =
    static_cast<int>(reader.number("weight", fields.weight, 1, maxWeight));
  fields.maxTasksPerJob = static_cast<int>(
    reader.number("maxTasksPerJob", fields.maxTasksPerJob, 1, maxTasks));
  fields.maxBodyBytes = readMaxBodyBytes(reader, fields.maxBodyBytes);
  fields.maxInFlight = static_cast<int>(
    reader.number("maxInFlight", fields.maxInFlight, 1, maxInFlightLimit));
  fields.allowedZones = readZones(reader);
  return fields;
}

Offset
readRevision(ObjectReader& reader)
{
  return static_cast<Offset>(
    reader.number("revision", 0, 0, std::numeric_limits<std::int64_t>::max()));
}

Reading<Template>
readTemplateText(const std::string& text, const TemplateName& name)
{
  const Result<nlohmann::json> json = parseObject(text);
  if (!json) {
    return { Template(Template::Fields()), { json.error() } };
  }
  ObjectReader reader(*json);
  Template value(readTemplate(reader, name));
  return { std::move(value), reader.problems() };
}

Reading<OrganisationParameters>
readOrganisationText(const std::string& text, const OrganisationName& name)
{
  const Result<nlohmann::json> json = parseObject(text);
  if (!json) {
    return { OrganisationParameters(OrganisationParameters::Fields()),
             { json.error() } };
  }
  ObjectReader reader(*json);
  OrganisationParameters value(readOrganisation(reader, name));
  return { std::move(value), reader.problems() };
}

} // namespace

std::vector<Problem>
validateTemplate(const std::string& text, const TemplateName& name)
{
  return readTemplateText(text, name).problems;
}

std::vector<Problem>
validateOrganisation(const std::string& text, const OrganisationName& name)
{
  return readOrganisationText(text, name).problems;
}

Result<Template>
parseTemplate(const std::string& text, const TemplateName& name)
{
  return toResult(readTemplateText(text, name));
}

Result<OrganisationParameters>
parseOrganisation(const std::string& text, const OrganisationName& name)
{
  return toResult(readOrganisationText(text, name));
}

nlohmann::json
templateToJson(const Template& value)
{
  return { { "name", value.name().value() },
           { "service", value.service().value() },
           { "path", value.path() },
           { "repeatable", value.isRepeatable() },
           { "declaredRunTimeMs", value.declaredRunTime() / milliseconds(1) },
           { "taskTimeoutMs", value.taskTimeout() / milliseconds(1) },
           { "cores", value.cores() },
           { "memoryMb", value.memoryMb() },
           { "maxBodyBytes", value.maxBodyBytes() },
           { "revision", value.revision() } };
}

nlohmann::json
organisationToJson(const OrganisationParameters& value)
{
  nlohmann::json zones = nlohmann::json::array();
  for (const ZoneName& zone : value.allowedZones()) {
    zones.push_back(zone.value());
  }
  return { { "name", value.name().value() },
           { "urgency", value.urgency() },
           { "weight", value.weight() },
           { "maxTasksPerJob", value.maxTasksPerJob() },
           { "maxBodyBytes", value.maxBodyBytes() },
           { "maxInFlight", value.maxInFlight() },
           { "allowedZones", std::move(zones) },
           { "revision", value.revision() } };
}

Result<Template>
templateFromJson(const nlohmann::json& json)
{
  ObjectReader reader(json);
  Template::Fields fields =
    readTemplate(reader, TemplateName(reader.text("name").value_or("")));
  fields.revision = readRevision(reader);
  return toResult<Template>({ Template(std::move(fields)), reader.problems() });
}

Result<OrganisationParameters>
organisationFromJson(const nlohmann::json& json)
{
  ObjectReader reader(json);
  OrganisationParameters::Fields fields = readOrganisation(
    reader, OrganisationName(reader.text("name").value_or("")));
  fields.revision = readRevision(reader);
  return toResult<OrganisationParameters>(
    { OrganisationParameters(std::move(fields)), reader.problems() });
}

} // namespace cowslippin
