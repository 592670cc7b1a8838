#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace cowslippin {

/// The JSON value in `text`; null when it cannot be parsed.
nlohmann::json
parseJson(const std::string& text);

/// A member as text: a string as it is, anything else as JSON, and nothing
/// when there is no such member or it is null.
std::string
textMember(const nlohmann::json& json, const char* member);

/// A list member; an empty list when there is no such list.
nlohmann::json
listMember(const nlohmann::json& json, const char* member);

} // namespace cowslippin
