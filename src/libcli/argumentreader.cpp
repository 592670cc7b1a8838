#include "argumentreader.h"

#include <boost/program_options.hpp>

#include <charconv>

namespace cowslippin {

namespace po = boost::program_options;

namespace {

constexpr char operandOption[] = "operand";

void
addOptions(po::options_description& description,
           const std::vector<OptionSpec>& specs)
{
  for (const OptionSpec& spec : specs) {
    if (spec.valueName.empty()) {
      description.add_options()(spec.name.c_str(), "");
    } else {
      description.add_options()(
        spec.name.c_str(), po::value<std::string>(), "");
    }
  }
}

std::optional<std::int64_t>
parseNumber(const std::string& text)
{
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

} // namespace

ArgumentReader::ArgumentReader(const CommandSpec& spec,
                               const std::vector<std::string>& arguments,
                               const ParseHooks& hooks)
  : m_spec(spec)
  , m_hooks(hooks)
{
  try {
    parse(arguments);
    checkOperands();
  } catch (const po::error& error) {
    refuse(Problem(ProblemKind::InvalidField, RunState::NotRun, error.what()));
  }
}

std::string
ArgumentReader::operand(std::size_t index) const
{
  return index < m_operands.size() ? m_operands[index] : "";
}

bool
ArgumentReader::has(const std::string& option) const
{
  return m_values.count(option) > 0;
}

std::optional<std::string>
ArgumentReader::text(const std::string& option) const
{
  if (!has(option)) {
    return std::nullopt;
  }
  return m_values[option].as<std::string>();
}

std::optional<std::string>
ArgumentReader::text(const std::string& option,
                     const std::string& variable) const
{
  const std::optional<std::string> value = text(option);
  return value ? value : m_hooks.environment(variable);
}

std::int64_t
ArgumentReader::number(const std::string& name,
                       const std::optional<std::string>& value,
                       std::int64_t fallback,
                       std::int64_t min,
                       std::int64_t max)
{
  if (!value) {
    return fallback;
  }
  const std::optional<std::int64_t> parsed = parseNumber(*value);
  if (!parsed || *parsed < min || *parsed > max) {
    refuse(Problem::invalidField(name,
                                 *value,
                                 "a whole number from " + std::to_string(min) +
                                   " to " + std::to_string(max)));
    return fallback;
  }
  return *parsed;
}

std::string
ArgumentReader::file(const std::string& option)
{
  const std::string path = text(option).value_or("");
  const std::optional<std::string> content = m_hooks.readFile(path);
  if (!content) {
    refuse(
      Problem::invalidField("--" + option, path, "a file that can be read"));
  }
  return content.value_or("");
}

std::string
ArgumentReader::fileOrText(const std::string& fileOption,
                           const std::string& textOption)
{
  if (has(fileOption) == has(textOption)) {
    refuse(Problem::invalidField("--" + textOption,
                                 text(textOption).value_or(""),
                                 "either it or --" + fileOption));
    return "";
  }
  return has(fileOption) ? file(fileOption) : *text(textOption);
}

void
ArgumentReader::refuse(Problem problem)
{
  m_problems.push_back(std::move(problem));
}

void
ArgumentReader::parse(const std::vector<std::string>& arguments)
{
  po::options_description description;
  addOptions(description, globalOptionSpecs());
  addOptions(description, m_spec.options);
  description.add_options()(
    operandOption, po::value<std::vector<std::string>>(&m_operands), "");
  po::positional_options_description positions;
  positions.add(operandOption, -1);
  const int style = po::command_line_style::unix_style &
                    ~po::command_line_style::allow_guessing;
  po::store(po::command_line_parser(arguments)
              .options(description)
              .positional(positions)
              .style(style)
              .run(),
            m_values);
  po::notify(m_values);
}

void
ArgumentReader::checkOperands()
{
  for (std::size_t i = m_operands.size(); i < m_spec.operands.size(); ++i) {
    refuse(
      Problem::invalidField(m_spec.operands[i], "", "a value; it is required"));
  }
  for (std::size_t i = 0; i < m_operands.size(); ++i) {
    if (i >= m_spec.operands.size()) {
      refuse(Problem::invalidField(
        "argument", m_operands[i], "nothing more after the operands"));
    } else if (m_operands[i].empty()) {
      refuse(
        Problem::invalidField(m_spec.operands[i], "", "a value that is set"));
    }
  }
}

} // namespace cowslippin
