#include "retrybudget.h"

#include <algorithm>

namespace cowslippin {

void
RetryBudget::earn()
{
  m_tokens = std::min(m_burst, m_tokens + m_ratio);
}

bool
RetryBudget::take()
{
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

} // namespace cowslippin
