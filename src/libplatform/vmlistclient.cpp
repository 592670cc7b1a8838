#include "vmlistclient.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace cowslippin {

namespace {

constexpr int statusOk = 200;
/// 29,000 workers with an endpoint each have some 2 million values.
constexpr ParseLimits listLimits{ std::size_t(64) << 20, 8, 10'000'000 };

[[noreturn]] void
throwInvalid(const std::string& field,
             const nlohmann::json& value,
             const std::string& allowed)
{
  throw Problem::invalidField(field, displayJson(value), allowed);
}

/// One member of the list. Reading a bad value throws a Problem, which
/// parseVmList catches.
class MemberReader
{
public:
  MemberReader(const nlohmann::json& json, std::string where)
    : m_json(json)
    , m_where(std::move(where))
  {
    if (!json.is_object()) {
      throwInvalid(m_where, json, "an object");
    }
  }

  std::string text(const char* name) const
  {
    const nlohmann::json& value = member(name);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
      throwInvalid(path(name), value, "a text that is not empty");
    }
    return value.get<std::string>();
  }

  int positive(const char* name) const
  {
    const nlohmann::json& value = member(name);
    constexpr auto most = std::numeric_limits<int>::max();
    const bool isValid = value.is_number_unsigned() &&
                         value.get<std::uint64_t>() >= 1 &&
                         value.get<std::uint64_t>() <= most;
    if (!isValid) {
      throwInvalid(path(name), value, "a positive integer");
    }
    return value.get<int>();
  }

  /// 0 when the member is not there.
  int positiveOrAbsent(const char* name) const
  {
    return m_json.contains(name) ? positive(name) : 0;
  }

  Address address(const char* name) const
  {
    Result<Address> parsed = Address::parse(text(name), path(name));
    if (!parsed) {
      throw parsed.error();
    }
    return *std::move(parsed);
  }

  /// One of two words: true for the first.
  bool isFirst(const char* name,
               const std::string& first,
               const std::string& second) const
  {
    const std::string value = text(name);
    if (value != first && value != second) {
      throwInvalid(path(name), value, first + " or " + second);
    }
    return value == first;
  }

  Availability availability() const
  {
    return isFirst("state", "live", "leaving") ? Availability::Live
                                               : Availability::Leaving;
  }

private:
  const nlohmann::json& member(const char* name) const
  {
    static const nlohmann::json absent;
    return m_json.contains(name) ? m_json[name] : absent;
  }

  std::string path(const char* name) const { return m_where + "." + name; }

  const nlohmann::json& m_json;
  std::string m_where;
};

VirtualMachine
readVm(const MemberReader& reader)
{
  VirtualMachine::Fields fields;
  fields.id = VmId(reader.text("id"));
  fields.zone = ZoneName(reader.text("zone"));
  fields.availability = reader.availability();
  fields.role =
    reader.isFirst("role", "entry", "worker") ? VmRole::Entry : VmRole::Worker;
  if (fields.role == VmRole::Entry) {
    fields.peerAddress = reader.address("peerAddress");
    fields.httpAddress = reader.address("httpAddress");
  }
  fields.cores = reader.positiveOrAbsent("cores");
  fields.memoryMb = reader.positiveOrAbsent("memoryMb");
  return VirtualMachine(std::move(fields));
}

Endpoint
readEndpoint(const MemberReader& reader)
{
  Endpoint::Fields fields;
  fields.id = EndpointId(reader.text("id"));
  fields.service = ServiceName(reader.text("service"));
  fields.zone = ZoneName(reader.text("zone"));
  fields.address = reader.address("address");
  fields.slots = reader.positive("slots");
  fields.connections = reader.positive("connections");
  fields.availability = reader.availability();
  return Endpoint(std::move(fields));
}

template<class T>
std::vector<T>
readArray(const nlohmann::json& json,
          const std::string& name,
          T (*readOne)(const MemberReader&))
{
  if (!json.contains(name) || !json[name].is_array()) {
    throwInvalid(name, json.value(name, nlohmann::json()), "an array");
  }
  std::vector<T> values;
  for (const nlohmann::json& element : json[name]) {
    std::string where = name;
    where.append("[").append(std::to_string(values.size())).append("]");
    values.push_back(readOne(MemberReader(element, std::move(where))));
  }
  return values;
}

std::uint64_t
readVersion(const nlohmann::json& json)
{
  const nlohmann::json version = json.value("version", nlohmann::json());
  if (!version.is_number_unsigned()) {
    throwInvalid("version", version, "an integer from 0 on");
  }
  return version.get<std::uint64_t>();
}

/// Whether the answer says that the list is still the one of this version.
bool
isUnchanged(const std::string& body, std::uint64_t version)
{
  // A whole list is long; only a short answer is looked into.
  constexpr std::size_t mostBytes = 256;
  if (body.size() > mostBytes) {
    return false;
  }
  const auto json = parseJson(body, "VM list", listLimits);
  return json && *json == nlohmann::json{ { "version", version },
                                          { "unchanged", true } };
}

} // namespace

VmListClient::VmListClient(Address platform, ClientIdentity identity)
  : m_connection(std::move(platform), std::move(identity))
{
}

Result<VmList>
VmListClient::fetch(Duration timeout)
{
  const Result<std::string> body = read("", timeout);
  if (!body) {
    return failure(body.error());
  }
  return parseVmList(*body);
}

Result<std::optional<VmList>>
VmListClient::fetchUnless(std::uint64_t knownVersion, Duration timeout)
{
  const Result<std::string> body =
    read("version=" + std::to_string(knownVersion), timeout);
  if (!body) {
    return failure(body.error());
  }
  if (isUnchanged(*body, knownVersion)) {
    return std::optional<VmList>();
  }
  Result<VmList> list = parseVmList(*body);
  if (!list) {
    return failure(list.error());
  }
  return std::optional<VmList>(*std::move(list));
}

Result<std::string>
VmListClient::read(const std::string& query, Duration timeout)
{
  const PlatformRequest request{ "GET", "/vms", query, "" };
  PlatformCallResult result = m_connection.call(request, timeout);
  if (!result) {
    return failure(result.error().problem.withRan(RunState::NotRun));
  }
  if (result->status != statusOk) {
    return failure(Problem(ProblemKind::PlatformUnavailable,
                           RunState::NotRun,
                           "the platform answered with status " +
                             std::to_string(result->status)));
  }
  return std::move(result->body);
}

void
VmListClient::cancel()
{
  m_connection.cancel();
}

Result<VmList>
parseVmList(const std::string& body)
{
  const auto parsed = parseJson(body, "VM list", listLimits);
  if (!parsed) {
    return failure(parsed.error());
  }
  const nlohmann::json& json = *parsed;
  if (!json.is_object()) {
    return failure(Problem(ProblemKind::MalformedBody,
                           RunState::NotRun,
                           "the platform's VM list is not a JSON object"));
  }
  try {
    return VmList(readVersion(json),
                  readArray(json, "vms", readVm),
                  readArray(json, "endpoints", readEndpoint));
  } catch (const Problem& problem) {
    return failure(problem);
  }
}

} // namespace cowslippin
