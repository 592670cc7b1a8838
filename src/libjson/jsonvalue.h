#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>

namespace cowslippin {

/// A value in a document has a type or range that isn't allowed. The text is
/// short and says what is allowed. Thrown by the functions below and caught by
/// the decoder that calls them.
class InvalidJsonValue : public std::invalid_argument
{
public:
  InvalidJsonValue(const nlohmann::json& value, std::string allowed);
  explicit InvalidJsonValue(const std::string& fault);

  /// The allowed values; empty if a value is missing.
  const std::string& allowed() const { return m_allowed; }

private:
  std::string m_allowed;
};

/// The element of a list. Throws InvalidJsonValue if the value isn't a list or
/// is too short.
const nlohmann::json&
elementOf(const nlohmann::json& list, std::size_t index);

/// The member of an object; null if there is none or the value isn't an object.
const nlohmann::json*
findMember(const nlohmann::json& object, const char* name);

/// The member of an object, which must be there.
const nlohmann::json&
memberOf(const nlohmann::json& object, const char* name);

/// A list of at most `maxSize` elements.
const nlohmann::json&
listFrom(const nlohmann::json& value, std::size_t maxSize);

/// A string of at most `maxBytes` bytes, in UTF-8.
std::string
textFrom(const nlohmann::json& value, std::size_t maxBytes);

bool
flagFrom(const nlohmann::json& value);

/// A finite number from `least` to `most`.
double
numberFrom(const nlohmann::json& value, double least, double most);

/// A whole number from `least` to `most`. A fraction of a number that is
/// written with one is cut off.
std::int64_t
signedFrom(const nlohmann::json& value, std::int64_t least, std::int64_t most);
std::uint64_t
unsignedFrom(const nlohmann::json& value,
             std::uint64_t least,
             std::uint64_t most);

/// A whole number from `least` to `most`, by default any that the type has.
template<class T>
T
integerFrom(const nlohmann::json& value,
            T least = std::numeric_limits<T>::min(),
            T most = std::numeric_limits<T>::max())
{
  static_assert(std::is_integral_v<T> && !std::is_same_v<T, bool>);
  if constexpr (std::is_signed_v<T>)
    return static_cast<T>(signedFrom(value, least, most));
  else
    return static_cast<T>(unsignedFrom(value, least, most));
}

} // namespace cowslippin
