#include "problemjson.h"

#include <nlohmann/json.hpp>

namespace cowslippin {

namespace {

constexpr std::string_view typePrefix = "urn:cowslippin:problem:";

void
setIfPresent(nlohmann::json& json, const char* member, const std::string& value)
{
  if (!value.empty()) {
    json[member] = value;
  }
}

std::optional<std::string>
textMember(const nlohmann::json& json, const char* member)
{
  const auto found = json.find(member);
  if (found == json.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::optional<ProblemKind>
kindFromType(const std::string& type)
{
  if (type.compare(0, typePrefix.size(), typePrefix) != 0) {
    return std::nullopt;
  }
  return problemKindFromSlug(type.substr(typePrefix.size()));
}

} // namespace

nlohmann::json
problemToJson(const Problem& problem)
{
  nlohmann::json json = {
    { "type", std::string(typePrefix) + std::string(slug(problem.kind())) },
    { "title", std::string(title(problem.kind())) },
    { "status", httpStatus(problem.kind()) },
    { "detail", problem.detail() },
    { "ran", std::string(toString(problem.ran())) },
  };
  setIfPresent(json, "field", problem.field());
  setIfPresent(json, "value", problem.value());
  setIfPresent(json, "allowed", problem.allowed());
  if (problem.retryAfter()) {
    // Rounded up: a caller must not come back too early.
    json["retryAfterMs"] =
      std::chrono::ceil<std::chrono::milliseconds>(*problem.retryAfter())
        .count();
  }
  return json;
}

std::optional<Problem>
problemFromJson(const nlohmann::json& json)
{
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto type = textMember(json, "type");
  const auto ranText = textMember(json, "ran");
  const auto kind = type ? kindFromType(*type) : std::nullopt;
  const auto ran = ranText ? runStateFromString(*ranText) : std::nullopt;
  if (!kind || !ran) {
    return std::nullopt;
  }
  Problem problem(*kind, *ran, textMember(json, "detail").value_or(""));
  if (const auto field = textMember(json, "field")) {
    problem = problem.withField(*field,
                                textMember(json, "value").value_or(""),
                                textMember(json, "allowed").value_or(""));
  }
  const auto retryAfter = json.find("retryAfterMs");
  if (retryAfter != json.end() && retryAfter->is_number_integer()) {
    problem = problem.withRetryAfter(
      std::chrono::milliseconds(retryAfter->get<std::int64_t>()));
  }
  return problem;
}

} // namespace cowslippin
