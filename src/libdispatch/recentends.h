#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cowslippin {

/// How the last attempts of a service ended, to tell an endpoint that fails
/// from work that fails everywhere.
class RecentEnds
{
public:
  /// Takes in an attempt's end at the endpoint with this serial.
  void record(std::uint64_t serial, bool failed);

  /// The failed part of the attempts at other endpoints; 0 without any.
  double failureRatioOfOthers(std::uint64_t serial) const;

private:
  struct End
  {
    std::uint64_t serial;
    bool failed;
  };

  std::array<End, 32> m_ends{};
  std::size_t m_next = 0;
  std::size_t m_size = 0;
};

} // namespace cowslippin
