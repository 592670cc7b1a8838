#include "jsontext.h"

#include "libcore/displaytext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace cowslippin {

namespace {

using nlohmann::json;

/// A longer list or object is described by its size.
constexpr std::size_t maxShownElements = 4;

bool
isShortValue(const json& value)
{
  if (value.is_string())
    return value.get_ref<const std::string&>().size() <= maxDisplayBytes;
  return value.is_primitive() && !value.is_binary();
}

bool
isShortContainer(const json& value)
{
  return value.size() <= maxShownElements &&
         std::all_of(value.begin(), value.end(), isShortValue);
}

bool
hasShortNames(const json& object)
{
  for (auto member = object.begin(); member != object.end(); ++member) {
    if (member.key().size() > maxDisplayBytes)
      return false;
  }
  return true;
}

/// Whether a character stands for itself in a JSON string. Others may too, but
/// need a closer look.
bool
isPlain(char character)
{
  return character >= ' ' && character <= '~' && character != '"' &&
         character != '\\';
}

template<class Integer>
void
appendInteger(std::string& text, Integer value)
{
  // The digits of the longest number and its sign.
  std::array<char, std::numeric_limits<Integer>::digits10 + 3> digits{};
  const auto result =
    std::to_chars(digits.data(), digits.data() + digits.size(), value);
  text.append(digits.data(), result.ptr);
}

} // namespace

std::string
writeJson(const json& value, int indent)
{
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

std::string
writeOrderedJson(const nlohmann::ordered_json& value)
{
  return value.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void
appendJson(std::string& text, std::string_view value)
{
  if (!std::all_of(value.begin(), value.end(), isPlain)) {
    text += writeJson(json(value));
    return;
  }
  text += '"';
  text += value;
  text += '"';
}

void
appendJson(std::string& text, std::int64_t value)
{
  appendInteger(text, value);
}

void
appendJson(std::string& text, std::uint64_t value)
{
  appendInteger(text, value);
}

void
appendJson(std::string& text, double value)
{
  text += writeJson(json(value));
}

std::vector<std::uint8_t>
writeCbor(const json& value)
{
  return json::to_cbor(value);
}

std::string
displayJson(const json& value)
{
  if (value.is_string())
    return displayText(value.get_ref<const std::string&>());
  if (value.is_binary())
    return std::to_string(value.get_binary().size()) + " bytes";
  if (value.is_array() && !isShortContainer(value))
    return "a list of " + std::to_string(value.size());
  if (value.is_object() && !(isShortContainer(value) && hasShortNames(value)))
    return "an object with " + std::to_string(value.size()) + " members";
  return displayText(writeJson(value));
}

} // namespace cowslippin
