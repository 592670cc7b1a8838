#pragma once

#include "daemonsettings.h"

#include <functional>
#include <string>
#include <vector>

namespace cowslippin {

/// One setting of the daemon: how it is called, explained and checked.
struct SettingSpec
{
  /// Checks a text and stores its value. Returns what is allowed when the
  /// text is not, and an empty string otherwise.
  using Store =
    std::function<std::string(const std::string&, DaemonSettings::Fields&)>;

  /// The flag's name without the leading hyphens.
  std::string name;
  std::string description;
  /// The text that stands in when none is given; empty = none does.
  std::string defaultText;
  bool isRequired = false;
  Store store;
};

/// Every setting of the daemon, in the order of the help text.
const std::vector<SettingSpec>&
settingSpecs();

/// The setting whose flag is `name`, or null.
const SettingSpec*
findSettingSpec(const std::string& name);

/// `--http-listen` for `http-listen`.
std::string
flagName(const std::string& name);

/// `COWSLIPPIN_HTTP_LISTEN` for `http-listen`.
std::string
variableName(const std::string& name);

} // namespace cowslippin
