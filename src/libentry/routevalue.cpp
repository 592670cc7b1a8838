#include "routevalue.h"

#include "libjson/json.h"

#include "libcore/core.h"

#include <cmath>

namespace cowslippin {

namespace {

/// 2^53, up to which a double represents every whole number.
constexpr double maxExactDouble = 9007199254740992.0;

} // namespace

RouteValue
routeNumber(double number)
{
  if (std::abs(number) <= maxExactDouble && std::floor(number) == number)
    return static_cast<std::int64_t>(number);
  return number;
}

std::string
displayRouteValue(const RouteValue& value)
{
  if (const auto* name = std::get_if<std::string>(&value))
    return '\'' + displayText(*name) + '\'';
  std::string text;
  if (const auto* whole = std::get_if<std::int64_t>(&value))
    appendJson(text, *whole);
  else
    appendJson(text, std::get<double>(value));
  return text;
}

} // namespace cowslippin
