#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <type_traits>
#include <vector>

namespace cowslippin {

/// Writes a CBOR document of lists, value by value, without a tree of values.
/// The bytes are those that `writeCbor` writes: the shortest form of each
/// value, and no indefinite lengths.
class CborWriter
{
public:
  /// The next `size` values are the elements of a list.
  void list(std::size_t size);
  void text(std::string_view value);
  void binary(std::string_view value);
  void flag(bool value);
  void number(double value);
  void null();

  template<class T>
  void integer(T value)
  {
    static_assert(std::is_integral_v<T> && !std::is_same_v<T, bool>);
    if constexpr (std::is_signed_v<T>)
      signedInteger(value);
    else
      unsignedInteger(value);
  }

  /// Returns what was written; the writer is empty then.
  std::vector<std::uint8_t> takeBytes();

private:
  void head(unsigned type, std::uint64_t argument);
  void bigEndian(std::uint64_t value, std::size_t size);
  void signedInteger(std::int64_t value);
  void unsignedInteger(std::uint64_t value);
  void content(unsigned type, std::string_view value);

  std::vector<std::uint8_t> m_bytes;
};

} // namespace cowslippin
