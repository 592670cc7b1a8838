#pragma once

#include "problem.h"

#include <nlohmann/json_fwd.hpp>

namespace cowslippin {

/// The media type of a rendered problem (RFC 9457).
constexpr char problemContentType[] = "application/problem+json";

/// Renders a problem as problem details. Extension members: `ran`, `field`,
/// `value`, `allowed` and `retryAfterMs`, the last four only where they apply.
nlohmann::json
problemToJson(const Problem& problem);

/// Reads what `problemToJson` wrote, or nothing when it is not that.
std::optional<Problem>
problemFromJson(const nlohmann::json& json);

} // namespace cowslippin
