#include "recentends.h"

#include <algorithm>

namespace cowslippin {

void
RecentEnds::record(std::uint64_t serial, bool failed)
{
  m_ends[m_next] = End{ serial, failed };
  m_next = (m_next + 1) % m_ends.size();
  m_size = std::min(m_size + 1, m_ends.size());
}

double
RecentEnds::failureRatioOfOthers(std::uint64_t serial) const
{
  int all = 0;
  int failed = 0;
  for (std::size_t i = 0; i < m_size; ++i) {
    if (m_ends[i].serial != serial) {
      ++all;
      failed += m_ends[i].failed ? 1 : 0;
    }
  }
  return all == 0 ? 0.0 : static_cast<double>(failed) / all;
}

} // namespace cowslippin
