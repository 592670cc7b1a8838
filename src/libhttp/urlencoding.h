#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslippin {

/// Undoes the percent-encoding of a query name or value, in which a plus sign
/// stands for a space. Nothing when an escape is not two hex digits.
std::optional<std::string>
decodeQueryText(std::string_view text);

/// Percent-encodes everything but letters, digits and `-._~`, so that the
/// result is one path segment or one query value.
std::string
percentEncode(std::string_view text);

} // namespace cowslippin
