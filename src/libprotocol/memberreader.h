#pragma once

#include "libcore/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace cowslippin {

/// Reads the members of a decoded message and remembers the first that is
/// missing or of a wrong type. Reading goes on with zero values after that.
class MemberReader
{
public:
  /// `json` has to outlive the reader.
  explicit MemberReader(const nlohmann::json& json);

  /// An unsigned number that fits `T`.
  template<class T>
  T number(const char* member)
  {
    return static_cast<T>(unsignedUpTo(member, std::numeric_limits<T>::max()));
  }

  /// An enumerator of `Enum`, whose last one is `last`.
  template<class Enum>
  Enum enumerator(const char* member, Enum last)
  {
    const auto highest = static_cast<std::uint64_t>(last);
    return static_cast<Enum>(unsignedUpTo(member, highest));
  }

  /// A truth value.
  bool flag(const char* member);

  /// An identifier as a `Name`. It may be empty.
  template<class Name>
  Name name(const char* member)
  {
    return Name(identifier(member));
  }

  /// An identifier as a `Name` that must not be empty.
  template<class Name>
  Name nonEmptyName(const char* member)
  {
    Name result = name<Name>(member);
    if (result.isEmpty())
      fail(member, "", "a text that is not empty");
    return result;
  }

  /// A text of any length.
  std::string text(const char* member);

  /// A byte string.
  std::string bytes(const char* member);

  /// An array of byte strings.
  std::vector<std::string> byteStrings(const char* member);

  /// The elements of an array, or null when there is none.
  const nlohmann::json* array(const char* member);

  /// Remembers a problem that was found elsewhere, unless there is one.
  void fail(Problem problem);

  const std::optional<Problem>& problem() const { return m_problem; }

private:
  std::uint64_t unsignedUpTo(const char* member, std::uint64_t highest);
  std::string identifier(const char* member);
  const nlohmann::json* find(const char* member);
  void fail(const char* member, std::string value, std::string allowed);

  const nlohmann::json& m_json;
  std::optional<Problem> m_problem;
};

} // namespace cowslippin
