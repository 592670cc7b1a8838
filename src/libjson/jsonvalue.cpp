#include "jsonvalue.h"

#include "jsontext.h"

#include "libcore/displaytext.h"

#include <cmath>
#include <utility>

namespace cowslippin {

namespace {

using nlohmann::json;

template<class T>
std::string
rangeText(const char* kind, T least, T most)
{
  return std::string(kind) + " from " + std::to_string(least) + " to " +
         std::to_string(most);
}

/// Whole numbers are exact as doubles up to this.
constexpr double maxExactDouble = 9007199254740992.0;

/// The integer part of a number that is written with a fraction, if converting
/// it is exact.
bool
isExactDouble(const json& value)
{
  return value.is_number_float() &&
         std::abs(value.get<double>()) <= maxExactDouble;
}

} // namespace

InvalidJsonValue::InvalidJsonValue(const json& value, std::string allowed)
  : std::invalid_argument(displayJson(value) + " in place of " + allowed)
  , m_allowed(std::move(allowed))
{
}

InvalidJsonValue::InvalidJsonValue(const std::string& fault)
  : std::invalid_argument(fault)
{
}

const json&
elementOf(const json& list, std::size_t index)
{
  if (!list.is_array() || index >= list.size())
    throw InvalidJsonValue(list,
                           "a list of at least " + std::to_string(index + 1));
  return list[index];
}

const json*
findMember(const json& object, const char* name)
{
  if (!object.is_object())
    return nullptr;
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

const json&
memberOf(const json& object, const char* name)
{
  const json* member = findMember(object, name);
  if (!member)
    throw InvalidJsonValue(std::string(name) + " is missing");
  return *member;
}

const json&
listFrom(const json& value, std::size_t maxSize)
{
  if (!value.is_array() || value.size() > maxSize)
    throw InvalidJsonValue(value,
                           "a list of at most " + std::to_string(maxSize));
  return value;
}

std::string
textFrom(const json& value, std::size_t maxBytes)
{
  const auto* text = value.get_ptr<const std::string*>();
  if (!text || text->size() > maxBytes || !isUtf8(*text))
    throw InvalidJsonValue(
      value, "a text of at most " + std::to_string(maxBytes) + " bytes");
  return *text;
}

bool
flagFrom(const json& value)
{
  if (!value.is_boolean())
    throw InvalidJsonValue(value, "true or false");
  return value.get<bool>();
}

double
numberFrom(const json& value, double least, double most)
{
  const double number = value.is_number() ? value.get<double>() : std::nan("");
  // Also false for a NaN.
  if (!(number >= least && number <= most))
    throw InvalidJsonValue(value, rangeText("a number", least, most));
  return number;
}

std::int64_t
signedFrom(const json& value, std::int64_t least, std::int64_t most)
{
  const bool fits =
    value.is_number_unsigned()
      ? value.get<std::uint64_t>() <=
          std::uint64_t(std::numeric_limits<std::int64_t>::max())
      : value.is_number_integer() || isExactDouble(value);
  const std::int64_t number = fits ? value.get<std::int64_t>() : 0;
  if (!fits || number < least || number > most)
    throw InvalidJsonValue(value, rangeText("a whole number", least, most));
  return number;
}

std::uint64_t
unsignedFrom(const json& value, std::uint64_t least, std::uint64_t most)
{
  const bool fits =
    value.is_number_unsigned() ||
    (value.is_number_integer() && value.get<std::int64_t>() >= 0) ||
    (isExactDouble(value) && value.get<double>() >= 0);
  const std::uint64_t number = fits ? value.get<std::uint64_t>() : 0;
  if (!fits || number < least || number > most)
    throw InvalidJsonValue(value, rangeText("a whole number", least, most));
  return number;
}

} // namespace cowslippin
