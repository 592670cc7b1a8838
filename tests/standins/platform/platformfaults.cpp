#include "platformfaults.h"

#include <algorithm>
#include <stdexcept>

namespace cowslippin::standins {

namespace {

bool
contains(const std::vector<std::string>& names, const std::string& name)
{
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string
toString(DownMode mode)
{
  switch (mode) {
    case DownMode::Refuse:
      return "refuse";
    case DownMode::Close:
      return "close";
    case DownMode::Hang:
      return "hang";
  }
  return {};
}

DownMode
downModeFromString(const std::string& text)
{
  for (const DownMode mode :
       { DownMode::Refuse, DownMode::Close, DownMode::Hang }) {
    if (toString(mode) == text) {
      return mode;
    }
  }
  throw std::invalid_argument("downMode is refuse, close or hang");
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
  const nlohmann::json known = PlatformFaults();
  for (const auto& [name, value] : json.items()) {
    if (!known.contains(name)) {
      throw std::invalid_argument("no fault switch is named " + name);
    }
  }
}

} // namespace

bool
PlatformFaults::isCut(const std::string& zone, const std::string& vm) const
{
  return contains(cutZones, zone) || contains(cutVms, vm);
}

void
to_json(nlohmann::json& json, const PlatformFaults& faults)
{
  json = { { "appendDelayMs", faults.appendDelayMs },
           { "down", faults.down },
           { "downMode", toString(faults.downMode) },
           { "slowMs", faults.slowMs },
           { "loseAppendAnswers", faults.loseAppendAnswers },
           { "landLateMs", faults.landLateMs },
           { "vmListLagMs", faults.vmListLagMs },
           { "retainRecords", faults.retainRecords },
           { "retainMs", faults.retainMs },
           { "cutZones", faults.cutZones },
           { "cutVms", faults.cutVms } };
}

void
from_json(const nlohmann::json& json, PlatformFaults& faults)
{
  rejectUnknownMembers(json);
  readMember(json, "appendDelayMs", faults.appendDelayMs);
  readMember(json, "down", faults.down);
  if (json.contains("downMode")) {
    faults.downMode = downModeFromString(json.at("downMode"));
  }
  readMember(json, "slowMs", faults.slowMs);
  readMember(json, "loseAppendAnswers", faults.loseAppendAnswers);
  readMember(json, "landLateMs", faults.landLateMs);
  readMember(json, "vmListLagMs", faults.vmListLagMs);
  readMember(json, "retainRecords", faults.retainRecords);
  readMember(json, "retainMs", faults.retainMs);
  readMember(json, "cutZones", faults.cutZones);
  readMember(json, "cutVms", faults.cutVms);
}

} // namespace cowslippin::standins
