#pragma once

#include "logrank.h"

#include <atomic>
#include <cstddef>

namespace cowslippin {

/// Counts the lines that wait to be written, in the buffer or for the logger's
/// thread. The last `reservedForDecisive` places are for decisive records only.
/// Thread-safe.
class QueueShare
{
public:
  QueueShare(std::size_t places, std::size_t reservedForDecisive)
    : m_places(static_cast<long>(places))
    , m_frequentPlaces(static_cast<long>(places - reservedForDecisive))
  {
  }

  /// Takes a place. False if none is free for such a record.
  bool enter(LogRank rank)
  {
    const long limit = rank == LogRank::Decisive ? m_places : m_frequentPlaces;
    long taken = m_taken.load();
    while (taken < limit) {
      if (m_taken.compare_exchange_weak(taken, taken + 1))
        return true;
    }
    return false;
  }

  /// Gives places back.
  void leave(long places = 1) { m_taken -= places; }

private:
  const long m_places;
  const long m_frequentPlaces;
  std::atomic<long> m_taken{ 0 };
};

} // namespace cowslippin
