#include "jsontext.h"

namespace cowslippin {

nlohmann::json
jsonOrNull(const std::string& text)
{
  return parseJson(text, "text", cliLimits).value_or(nlohmann::json());
}

std::string
textMember(const nlohmann::json& json, const char* member)
{
  const auto found = json.find(member);
  if (found == json.end() || found->is_null()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : writeJson(*found);
}

nlohmann::json
listMember(const nlohmann::json& json, const char* member)
{
  const auto found = json.find(member);
  const bool isList = found != json.end() && found->is_array();
  return isList ? *found : nlohmann::json::array();
}

} // namespace cowslippin
