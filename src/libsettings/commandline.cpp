#include "commandline.h"

#include "settingspec.h"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <algorithm>

namespace cowslippin {

namespace {

namespace options = boost::program_options;

constexpr char helpFlag[] = "help";
constexpr char allowedFlags[] = "one of the flags of --help";
constexpr int helpLineLength = 100;
constexpr int flagStyle = options::command_line_style::allow_long |
                          options::command_line_style::long_allow_adjacent |
                          options::command_line_style::long_allow_next;

bool
isFlag(const std::string& argument)
{
  return argument.compare(0, 2, "--") == 0;
}

/// `zone` for `--zone` and `--zone=z1`.
std::string
nameOf(const std::string& flag)
{
  return flag.substr(2, flag.find('=') - 2);
}

/// Cuts a command line before each flag, so that a bad one spoils no other.
std::vector<std::vector<std::string>>
splitAtFlags(const std::vector<std::string>& arguments)
{
  std::vector<std::vector<std::string>> flags;
  for (const std::string& argument : arguments) {
    if (flags.empty() || isFlag(argument)) {
      flags.emplace_back();
    }
    flags.back().push_back(argument);
  }
  return flags;
}

Problem
unexpected(const std::string& argument)
{
  return Problem(ProblemKind::InvalidField,
                 RunState::NotRun,
                 argument + " is not known; allowed is " + allowedFlags)
    .withField(argument, "", allowedFlags);
}

std::string
explanation(const SettingSpec& spec)
{
  std::string text = spec.description;
  if (spec.isRequired) {
    text += " (required)";
  } else if (!spec.defaultText.empty()) {
    text += " (default " + spec.defaultText + ")";
  }
  return text;
}

} // namespace

options::options_description
flagDescriptions()
{
  options::options_description descriptions("Settings", helpLineLength);
  descriptions.add_options()(helpFlag, "print this text and exit");
  for (const SettingSpec& spec : settingSpecs()) {
    descriptions.add_options()(spec.name.c_str(),
                               options::value<std::string>(),
                               explanation(spec).c_str());
  }
  return descriptions;
}

CommandLine::CommandLine(const std::vector<std::string>& arguments)
{
  for (const std::vector<std::string>& flag : splitAtFlags(arguments)) {
    readFlag(flag);
  }
}

void
CommandLine::readFlag(const std::vector<std::string>& flag)
{
  try {
    const auto descriptions = flagDescriptions();
    const auto parsed = options::command_line_parser(flag)
                          .options(descriptions)
                          .style(flagStyle)
                          .allow_unregistered()
                          .run();
    for (const options::option& option : parsed.options) {
      if (option.unregistered || option.string_key.empty()) {
        m_problems.push_back(unexpected(option.original_tokens.front()));
      } else if (option.string_key == helpFlag) {
        m_asksForHelp = true;
      } else {
        addSetting(option.string_key, option.value.front());
      }
    }
  } catch (const options::error&) {
    // A known flag without a value: the empty text is refused like any other
    // value that is not allowed.
    addSetting(nameOf(flag.front()), "");
  }
}

void
CommandLine::addSetting(const std::string& name, const std::string& text)
{
  const bool isRepeated =
    std::any_of(m_settings.begin(),
                m_settings.end(),
                [&](const SettingSource& s) { return s.name() == name; });
  if (isRepeated) {
    m_problems.push_back(
      Problem::invalidField(flagName(name), text, "one value, given once"));
    return;
  }
  m_settings.emplace_back(name, flagName(name), text);
}

} // namespace cowslippin
