#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace cowslippin {

/// Reads the members of a JSON object and collects a problem for each one
/// whose value is not allowed. A member that is absent keeps its default.
class ObjectReader
{
public:
  /// `object` must outlive the reader.
  explicit ObjectReader(const nlohmann::json& object);

  /// A whole number from `min` to `max`; `fallback` when absent.
  std::int64_t number(const char* member,
                      std::int64_t fallback,
                      std::int64_t min,
                      std::int64_t max);

  /// A duration in whole milliseconds from 1 to `max`.
  Duration milliseconds(const char* member,
                        Duration fallback,
                        std::chrono::milliseconds max);

  bool boolean(const char* member, bool fallback);

  /// A string that must be there; nothing, with a problem, when it is not.
  std::optional<std::string> text(const char* member);

  /// A string; `fallback` when absent.
  std::string text(const char* member, const std::string& fallback);

  /// A list of distinct strings; empty when absent.
  std::vector<std::string> texts(const char* member, std::size_t maxCount);

  /// The member's value, or null with a problem when it is absent.
  const nlohmann::json* required(const char* member);

  /// Adds a problem that the reader cannot find by itself.
  void refuse(Problem problem);

  /// Every problem found so far and one for each member that was not asked
  /// for.
  std::vector<Problem> problems() const;

private:
  const nlohmann::json* find(const char* member);
  void refuse(const char* member,
              const nlohmann::json& value,
              std::string allowed);

  const nlohmann::json& m_object;
  std::set<std::string> m_asked;
  std::vector<Problem> m_problems;
};

/// Joins problems into one: the first one's kind and field, and the details
/// of all. There must be at least one.
Problem
joinProblems(const std::vector<Problem>& problems);

/// Whether `text` may name a template, organisation, service or zone.
bool
isConfigName(const std::string& text);

/// What `isConfigName` asks for, in words.
extern const char allowedConfigName[];

} // namespace cowslippin
