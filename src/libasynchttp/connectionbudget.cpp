#include "connectionbudget.h"

#include <utility>

namespace cowslippin {

ConnectionBudget::Share::Share(std::shared_ptr<ConnectionBudget> budget,
                               std::function<void()> close)
  : m_budget(std::move(budget))
  , m_close(std::move(close))
{
  m_budget->m_shares.insert(this);
}

ConnectionBudget::Share::~Share()
{
  m_budget->m_heldBytes -= m_bytes;
  m_budget->m_shares.erase(this);
}

void
ConnectionBudget::Share::hold(std::size_t bytes,
                              std::optional<TimePoint> waitingSince)
{
  const bool isMore = bytes > m_bytes;
  m_budget->m_heldBytes += bytes - m_bytes;
  m_bytes = bytes;
  m_waitingSince = waitingSince;
  if (isMore)
    m_budget->makeRoom();
}

void
ConnectionBudget::makeRoom()
{
  while (m_heldBytes > m_maxBytes) {
    Share* longest = nullptr;
    for (Share* share : m_shares) {
      if (share->m_waitingSince &&
          (!longest || *share->m_waitingSince < *longest->m_waitingSince))
        longest = share;
    }
    if (!longest)
      return;
    longest->m_waitingSince.reset();
    longest->m_close();
  }
}

} // namespace cowslippin
