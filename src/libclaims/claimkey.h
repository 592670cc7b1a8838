#pragma once

#include "libcore/core.h"

#include <array>
#include <cstdint>

namespace cowslippin {

/// A submission key in the form the claim stream uses: 16 bytes, written as 32
/// lower-case hexadecimal digits.
class ClaimKey
{
public:
  static constexpr std::size_t byteCount = 16;

  /// Reads 32 lower-case hexadecimal digits. Anything else is an
  /// `InvalidField` problem: nothing ran.
  static Result<ClaimKey> parse(const SubmissionKey& key);

  SubmissionKey toSubmissionKey() const;

  /// The first eight bytes; keys are hashes, so they spread evenly.
  std::size_t hash() const;

  friend bool operator==(const ClaimKey& a, const ClaimKey& b)
  {
    return a.m_bytes == b.m_bytes;
  }
  friend bool operator!=(const ClaimKey& a, const ClaimKey& b)
  {
    return !(a == b);
  }

private:
  std::array<std::uint8_t, byteCount> m_bytes{};
};

} // namespace cowslippin

template<>
struct std::hash<cowslippin::ClaimKey>
{
  std::size_t operator()(const cowslippin::ClaimKey& key) const noexcept
  {
    return key.hash();
  }
};
