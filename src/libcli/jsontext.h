#pragma once

#include "libjson/json.h"

#include <string>

namespace cowslippin {

/// Limits of what the command line reads: files, arguments, and answers.
constexpr ParseLimits cliLimits{ std::size_t(64) << 20, 64, 10'000'000 };

/// The JSON value in `text`; null when it cannot be parsed.
nlohmann::json
jsonOrNull(const std::string& text);

/// A member as text: a string as it is, anything else as JSON, and nothing
/// when there is no such member or it is null.
std::string
textMember(const nlohmann::json& json, const char* member);

/// A list member; an empty list when there is no such list.
nlohmann::json
listMember(const nlohmann::json& json, const char* member);

} // namespace cowslippin
