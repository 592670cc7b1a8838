#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cowslippin {

/// Writes a value as JSON. Bytes that aren't UTF-8 are replaced by U+FFFD. The
/// value must not be nested deeper than a parsed one may be. `indent` is the
/// number of spaces a level; everything is on one line if it is negative.
std::string
writeJson(const nlohmann::json& value, int indent = -1);
std::string
writeOrderedJson(const nlohmann::ordered_json& value);

/// Writes a value as CBOR.
std::vector<std::uint8_t>
writeCbor(const nlohmann::json& value);

/// A short description of a value for a problem: a number or a short list as
/// JSON, a string without quotation marks, anything longer by its type and
/// size. Takes the same time for any value.
std::string
displayJson(const nlohmann::json& value);

} // namespace cowslippin
