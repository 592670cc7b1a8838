#include "jsontext.h"

#include "libcore/displaytext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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
