#include "jsontext.h"

namespace cowslippin {

nlohmann::json
parseJson(const std::string& text)
{
  nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  return json.is_discarded() ? nlohmann::json() : json;
}

std::string
textMember(const nlohmann::json& json, const char* member)
{
  const auto found = json.find(member);
  if (found == json.end() || found->is_null()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

nlohmann::json
listMember(const nlohmann::json& json, const char* member)
{
  const auto found = json.find(member);
  const bool isList = found != json.end() && found->is_array();
  return isList ? *found : nlohmann::json::array();
}

} // namespace cowslippin
