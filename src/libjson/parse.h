#pragma once

#include "libcore/result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cowslippin {

/// Limits of a document. They bound the memory that it takes and, as nlohmann's
/// library copies and writes values recursively, the stack.
struct ParseLimits
{
  std::size_t maxBytes = 0;
  /// Maximum number of arrays and objects that contain each other.
  std::size_t maxDepth = 16;
  /// Maximum number of values, including the names of members.
  std::size_t maxValues = 100000;
};

/// Parses a JSON document in UTF-8. The problem is of kind `MalformedBody`; its
/// detail names `field` and contains no byte of the document.
Result<nlohmann::json>
parseJson(std::string_view text, const char* field, const ParseLimits& limits);

/// As `parseJson`, but the members of objects keep their order.
Result<nlohmann::ordered_json>
parseOrderedJson(std::string_view text,
                 const char* field,
                 const ParseLimits& limits);

/// Returns why `parseCbor` refuses a document before it reads the values: the
/// document isn't exactly one whole item within the limits.
std::optional<Problem>
cborProblem(std::string_view bytes,
            const char* field,
            const ParseLimits& limits);

/// Parses a document that is exactly one CBOR item (RFC 8949), without tags and
/// indefinite lengths. Text strings may contain any bytes.
Result<nlohmann::json>
parseCbor(std::string_view bytes, const char* field, const ParseLimits& limits);

} // namespace cowslippin
