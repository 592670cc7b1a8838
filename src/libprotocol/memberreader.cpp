#include "memberreader.h"

#include "codec.h"

namespace cowslippin {

MemberReader::MemberReader(const nlohmann::json& json)
  : m_json(json)
{
  if (!json.is_object())
    fail("", json.type_name(), "a map");
}

std::string
MemberReader::text(const char* member)
{
  const nlohmann::json* value = find(member);
  if (!value)
    return {};
  if (!value->is_string()) {
    fail(member, value->type_name(), "a text");
    return {};
  }
  return value->get<std::string>();
}

std::string
MemberReader::bytes(const char* member)
{
  const nlohmann::json* value = find(member);
  if (!value)
    return {};
  if (!value->is_binary()) {
    fail(member, value->type_name(), "a byte string");
    return {};
  }
  const auto& binary = value->get_binary();
  return std::string(binary.begin(), binary.end());
}

bool
MemberReader::flag(const char* member)
{
  const nlohmann::json* value = find(member);
  if (!value)
    return false;
  if (!value->is_boolean()) {
    fail(member, value->type_name(), "true or false");
    return false;
  }
  return value->get<bool>();
}

std::vector<std::string>
MemberReader::byteStrings(const char* member)
{
  std::vector<std::string> strings;
  const nlohmann::json* values = array(member);
  if (!values)
    return strings;
  for (const nlohmann::json& value : *values) {
    if (!value.is_binary()) {
      fail(member, value.type_name(), "an array of byte strings");
      return {};
    }
    const auto& binary = value.get_binary();
    strings.emplace_back(binary.begin(), binary.end());
  }
  return strings;
}

const nlohmann::json*
MemberReader::array(const char* member)
{
  const nlohmann::json* value = find(member);
  if (!value)
    return nullptr;
  if (!value->is_array()) {
    fail(member, value->type_name(), "an array");
    return nullptr;
  }
  return value;
}

void
MemberReader::fail(Problem problem)
{
  if (!m_problem)
    m_problem = std::move(problem);
}

std::uint64_t
MemberReader::unsignedUpTo(const char* member, std::uint64_t highest)
{
  const nlohmann::json* value = find(member);
  if (!value)
    return 0;
  if (!value->is_number_unsigned()) {
    fail(member, value->type_name(), "an unsigned number");
    return 0;
  }
  const auto number = value->get<std::uint64_t>();
  if (number > highest) {
    fail(member, std::to_string(number), "0 to " + std::to_string(highest));
    return 0;
  }
  return number;
}

std::string
MemberReader::identifier(const char* member)
{
  std::string result = text(member);
  if (result.size() > maxIdentifierBytes) {
    fail(member,
         std::to_string(result.size()) + " bytes",
         "at most " + std::to_string(maxIdentifierBytes) + " bytes");
    return {};
  }
  return result;
}

const nlohmann::json*
MemberReader::find(const char* member)
{
  if (!m_json.is_object())
    return nullptr;
  const auto found = m_json.find(member);
  if (found == m_json.end()) {
    fail(member, "missing", "a value");
    return nullptr;
  }
  return &*found;
}

void
MemberReader::fail(const char* member, std::string value, std::string allowed)
{
  fail(Problem::invalidField(member, std::move(value), std::move(allowed)));
}

} // namespace cowslippin
