#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace cowslippin {

/// The value of a route's field as a configuration states it. A number without
/// a fraction is an integer.
using RouteValue = std::variant<std::int64_t, double, std::string>;

/// A number as a field's value.
RouteValue
routeNumber(double number);

/// The value as shown in a message: a number, or a text in quotation marks that
/// is cut like every value of another program.
std::string
displayRouteValue(const RouteValue& value);

} // namespace cowslippin
