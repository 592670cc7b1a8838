#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace cowslippin {

/// Renders a process's state on request, out of named sections. Thread-safe.
class StateDump
{
public:
  /// Renders one part of the state. Must stay callable as long as the dump,
  /// from any thread, and do its own locking. It may throw.
  using Section = std::function<nlohmann::json()>;

  /// Adds a section, in place of an earlier one with the same name.
  void addSection(const std::string& name, Section section);

  /// One member a section. A section that throws is rendered as
  /// `{"error":"<what it threw>"}` and leaves the others as they are. No lock
  /// is held while a section runs.
  nlohmann::json render() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, Section> m_sections;
};

} // namespace cowslippin
