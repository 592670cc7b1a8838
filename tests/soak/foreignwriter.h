#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace cowslippin::testing {

/// Bytes that a daemon doesn't expect, at random but the same for the same
/// seed: values that are nested deep, long, of wrong types, out of range or not
/// UTF-8, each in place of a field of an otherwise valid document.
class ForeignWriter
{
public:
  explicit ForeignWriter(std::uint64_t seed)
    : m_random(seed)
  {
  }

  /// A record of the store.
  struct Record
  {
    std::string topic;
    std::string key;
    std::string value;
  };

  Record record();
  /// Of a few hundred kilobytes at most.
  std::string jobBody();
  std::string jobId();
  /// A message of at most a megabyte to the port for daemons.
  std::string peerMessage();

private:
  std::string value();
  std::string entry();
  std::size_t below(std::size_t bound)
  {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }

  std::mt19937_64 m_random;
};

} // namespace cowslippin::testing
