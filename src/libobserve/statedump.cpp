#include "statedump.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

nlohmann::json
renderSection(const StateDump::Section& section)
{
  try {
    return section();
  } catch (const std::exception& error) {
    return { { "error", error.what() } };
  }
}

} // namespace

void
StateDump::addSection(const std::string& name, Section section)
{
  const std::lock_guard lock(m_mutex);
  m_sections[name] = std::move(section);
}

nlohmann::json
StateDump::render() const
{
  std::unique_lock lock(m_mutex);
  const std::map<std::string, Section> sections = m_sections;
  lock.unlock();
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, section] : sections) {
    json[name] = renderSection(section);
  }
  return json;
}

} // namespace cowslippin
