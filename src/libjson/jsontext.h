#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// Writes a value as JSON. Bytes that aren't UTF-8 are replaced by U+FFFD. The
/// value must not be nested deeper than a parsed one may be. `indent` is the
/// number of spaces a level; everything is on one line if it is negative.
std::string
writeJson(const nlohmann::json& value, int indent = -1);
std::string
writeOrderedJson(const nlohmann::ordered_json& value);

/// These append a value as JSON to a text that is composed without a document.
/// A string is written with its quotation marks; bytes that aren't UTF-8 are
/// replaced by U+FFFD. A number that isn't finite is written as null.
void
appendJson(std::string& text, std::string_view value);
void
appendJson(std::string& text, std::int64_t value);
void
appendJson(std::string& text, std::uint64_t value);
void
appendJson(std::string& text, double value);

/// Writes a value as CBOR.
std::vector<std::uint8_t>
writeCbor(const nlohmann::json& value);

/// A short description of a value for a problem: a number or a short list as
/// JSON, a string without quotation marks, anything longer by its type and
/// size. Takes the same time for any value.
std::string
displayJson(const nlohmann::json& value);

} // namespace cowslippin
