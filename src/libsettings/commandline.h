#pragma once

#include "settingsource.h"

#include "libcore/problem.h"

#include <boost/program_options/options_description.hpp>

#include <string>
#include <vector>

namespace cowslippin {

/// The flags of a command line. Nothing in it stops the reading: what cannot
/// be understood is a problem beside the flags that can.
class CommandLine
{
public:
  explicit CommandLine(const std::vector<std::string>& arguments);

  /// The flags that are known, each once, in their order.
  const std::vector<SettingSource>& settings() const { return m_settings; }
  const std::vector<Problem>& problems() const { return m_problems; }
  bool asksForHelp() const { return m_asksForHelp; }

private:
  void readFlag(const std::vector<std::string>& flag);
  void addSetting(const std::string& name, const std::string& text);

  std::vector<SettingSource> m_settings;
  std::vector<Problem> m_problems;
  bool m_asksForHelp = false;
};

/// The daemon's flags as Boost.Program_options knows and explains them.
boost::program_options::options_description
flagDescriptions();

} // namespace cowslippin
