#include "backoff.h"

#include <algorithm>

namespace cowslippin {

Backoff::Backoff(Duration first, Duration limit, std::uint64_t seed)
  : m_first(first)
  , m_limit(limit)
  , m_random(seed)
{
}

Duration
Backoff::next(unsigned failures)
{
  Duration wait = std::min(m_first, m_limit);
  for (unsigned i = 1; i < failures && wait < m_limit; ++i)
    wait = std::min(wait * 2, m_limit);
  std::uniform_int_distribution<Duration::rep> reduction(0, wait.count() / 2);
  return wait - Duration(reduction(m_random));
}

} // namespace cowslippin
