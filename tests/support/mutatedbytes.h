#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Changes to bytes that a decoder reads, at random but the same for the same
/// seed: single bits, lengths, parts that are repeated, moved or left out, and
/// fragments that stand for depth, size, wrong types, numbers at the ends of
/// their ranges and bytes that aren't UTF-8.
class MutatedBytes
{
public:
  /// `fragments` are inserted as they are.
  MutatedBytes(std::vector<std::string> samples,
               std::vector<std::string> fragments,
               std::uint64_t seed);

  /// A sample with one to eight changes.
  std::string next();

private:
  std::string changed(std::string bytes);
  std::size_t below(std::size_t limit);

  const std::vector<std::string> m_samples;
  const std::vector<std::string> m_fragments;
  std::mt19937_64 m_random;
};

/// Fragments of JSON and of CBOR.
std::vector<std::string>
jsonFragments();
std::vector<std::string>
cborFragments();

} // namespace cowslippin::testing
