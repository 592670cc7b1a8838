#include "endpointfaults.h"

#include <array>
#include <stdexcept>

namespace cowslippin::standins {

namespace {

struct ModeName
{
  EndpointMode mode;
  const char* name;
};

constexpr std::array<ModeName, 7> modeNames = { {
  { EndpointMode::Normal, "normal" },
  { EndpointMode::Fail, "fail" },
  { EndpointMode::Refuse, "refuse" },
  { EndpointMode::Close, "close" },
  { EndpointMode::Truncate, "truncate" },
  { EndpointMode::Overlong, "overlong" },
  { EndpointMode::Hang, "hang" },
} };

std::string
toString(EndpointMode mode)
{
  for (const ModeName& entry : modeNames) {
    if (entry.mode == mode) {
      return entry.name;
    }
  }
  return {};
}

EndpointMode
modeFromString(const std::string& text)
{
  for (const ModeName& entry : modeNames) {
    if (entry.name == text) {
      return entry.mode;
    }
  }
  throw std::invalid_argument("no mode is named " + text);
}

template<class T>
void
readMember(const nlohmann::json& json, const char* name, T& target)
{
  if (json.contains(name)) {
    json.at(name).get_to(target);
  }
}

void
rejectUnknownMembers(const nlohmann::json& json)
{
  const nlohmann::json known = EndpointFaults();
  for (const auto& [name, value] : json.items()) {
    if (!known.contains(name)) {
      throw std::invalid_argument("no fault switch is named " + name);
    }
  }
}

} // namespace

EndpointMode
EndpointFaults::takeMode()
{
  const EndpointMode taken = mode;
  if (times > 0 && --times == 0) {
    mode = EndpointMode::Normal;
  }
  return taken;
}

void
to_json(nlohmann::json& json, const EndpointFaults& faults)
{
  json = { { "mode", toString(faults.mode) },
           { "times", faults.times },
           { "slowFactor", faults.slowFactor },
           { "overlongBytes", faults.overlongBytes },
           { "leaving", faults.leaving } };
}

void
from_json(const nlohmann::json& json, EndpointFaults& faults)
{
  rejectUnknownMembers(json);
  if (json.contains("mode")) {
    faults.mode = modeFromString(json.at("mode"));
  }
  readMember(json, "times", faults.times);
  readMember(json, "slowFactor", faults.slowFactor);
  readMember(json, "overlongBytes", faults.overlongBytes);
  readMember(json, "leaving", faults.leaving);
}

} // namespace cowslippin::standins
