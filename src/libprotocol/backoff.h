#pragma once

#include "libcore/clock.h"

#include <cstdint>
#include <random>

namespace cowslippin {

/// Spaces out attempts to connect: the wait doubles with every failure in a
/// row up to a limit, and up to half of it is taken off at random so that the
/// daemons don't all try at once.
class Backoff
{
public:
  Backoff(Duration first, Duration limit, std::uint64_t seed);

  /// The wait after `failures` failed attempts in a row, 1 or more.
  Duration next(unsigned failures);

private:
  Duration m_first;
  Duration m_limit;
  std::mt19937_64 m_random;
};

} // namespace cowslippin
