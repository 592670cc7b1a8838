#include "objectreader.h"

#include "configjson.h"

#include "libjson/json.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

bool
isNameCharacter(char c)
{
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool isDigit = c >= '0' && c <= '9';
  return isLetter || isDigit || c == '-' || c == '_' || c == '.';
}

bool
fitsInRange(const nlohmann::json& value, std::int64_t min, std::int64_t max)
{
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>() <= static_cast<std::uint64_t>(max) &&
           value.get<std::int64_t>() >= min;
  }
  return value.is_number_integer() && value.get<std::int64_t>() >= min &&
         value.get<std::int64_t>() <= max;
}

bool
areDistinctStrings(const nlohmann::json& list)
{
  std::set<std::string> seen;
  return std::all_of(list.begin(), list.end(), [&](const nlohmann::json& item) {
    return item.is_string() && seen.insert(item.get<std::string>()).second;
  });
}

} // namespace

const char allowedConfigName[] =
  "1 to 64 letters, digits, '-', '_' and '.', the first a letter or digit";

bool
isConfigName(const std::string& text)
{
  return !text.empty() && text.size() <= maxConfigNameLength &&
         std::all_of(text.begin(), text.end(), isNameCharacter) &&
         text.front() != '-' && text.front() != '_' && text.front() != '.';
}

Problem
joinProblems(const std::vector<Problem>& problems)
{
  const Problem& first = problems.front();
  std::string detail;
  for (const Problem& problem : problems) {
    detail += (detail.empty() ? "" : "; ") + problem.detail();
  }
  return Problem(first.kind(), first.ran(), std::move(detail))
    .withField(first.field(), first.value(), first.allowed());
}

ObjectReader::ObjectReader(const nlohmann::json& object)
  : m_object(object)
{
}

std::int64_t
ObjectReader::number(const char* member,
                     std::int64_t fallback,
                     std::int64_t min,
                     std::int64_t max)
{
  const nlohmann::json* value = find(member);
  if (!value) {
    return fallback;
  }
  if (!fitsInRange(*value, min, max)) {
    refuse(member,
           *value,
           "a whole number from " + std::to_string(min) + " to " +
             std::to_string(max));
    return fallback;
  }
  return value->get<std::int64_t>();
}

Duration
ObjectReader::milliseconds(const char* member,
                           Duration fallback,
                           std::chrono::milliseconds max)
{
  using std::chrono::milliseconds;
  const auto fallbackMs = std::chrono::duration_cast<milliseconds>(fallback);
  return milliseconds(number(member, fallbackMs.count(), 1, max.count()));
}

bool
ObjectReader::boolean(const char* member, bool fallback)
{
  const nlohmann::json* value = find(member);
  if (!value) {
    return fallback;
  }
  if (!value->is_boolean()) {
    refuse(member, *value, "true or false");
    return fallback;
  }
  return value->get<bool>();
}

std::optional<std::string>
ObjectReader::text(const char* member)
{
  const nlohmann::json* value = required(member);
  if (!value) {
    return std::nullopt;
  }
  if (!value->is_string()) {
    refuse(member, *value, "a string");
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::string
ObjectReader::text(const char* member, const std::string& fallback)
{
  const nlohmann::json* value = find(member);
  if (!value) {
    return fallback;
  }
  if (!value->is_string()) {
    refuse(member, *value, "a string");
    return fallback;
  }
  return value->get<std::string>();
}

std::vector<std::string>
ObjectReader::texts(const char* member, std::size_t maxCount)
{
  const nlohmann::json* value = find(member);
  if (!value) {
    return {};
  }
  if (!value->is_array() || value->size() > maxCount ||
      !areDistinctStrings(*value)) {
    refuse(member,
           *value,
           "a list of up to " + std::to_string(maxCount) + " distinct strings");
    return {};
  }
  return value->get<std::vector<std::string>>();
}

const nlohmann::json*
ObjectReader::required(const char* member)
{
  const nlohmann::json* value = find(member);
  if (!value) {
    refuse(Problem::invalidField(member, "", "a value; it is required"));
  }
  return value;
}

void
ObjectReader::refuse(Problem problem)
{
  m_problems.push_back(std::move(problem));
}

std::vector<Problem>
ObjectReader::problems() const
{
  std::vector<Problem> all = m_problems;
  for (const auto& [member, value] : m_object.items()) {
    if (m_asked.count(member) == 0) {
      all.push_back(
        Problem::invalidField(member, displayJson(value), "no such member"));
    }
  }
  return all;
}

const nlohmann::json*
ObjectReader::find(const char* member)
{
  m_asked.insert(member);
  const auto found = m_object.find(member);
  return found == m_object.end() ? nullptr : &*found;
}

void
ObjectReader::refuse(const char* member,
                     const nlohmann::json& value,
                     std::string allowed)
{
  refuse(Problem::invalidField(member, displayJson(value), std::move(allowed)));
}

} // namespace cowslippin
