#include "appendbudget.h"

#include <algorithm>
#include <cstdlib>

namespace cowslippin {

namespace {

using Seconds = std::chrono::duration<double>;

/// Keeps rounding from asking for a sliver of a token more.
constexpr double tokenEpsilon = 1e-9;

} // namespace

AppendBudget::AppendBudget(double perSecond, unsigned burst, TimePoint now)
  : m_perSecond(perSecond)
  , m_burst(burst)
  , m_tokens(burst)
  , m_updated(now)
{
  if (!(perSecond > 0) || burst == 0) {
    std::abort();
  }
}

bool
AppendBudget::take(TimePoint now)
{
  const double tokens = available(now);
  if (tokens + tokenEpsilon < 1) {
    return false;
  }
  m_tokens = std::max(0.0, tokens - 1);
  m_updated = std::max(m_updated, now);
  return true;
}

Duration
AppendBudget::wait(TimePoint now) const
{
  const double missing = 1 - available(now);
  if (missing <= tokenEpsilon) {
    return Duration::zero();
  }
  return std::chrono::ceil<Duration>(Seconds(missing / m_perSecond));
}

double
AppendBudget::available(TimePoint now) const
{
  const Seconds elapsed = std::max(Duration::zero(), now - m_updated);
  return std::min(m_burst, m_tokens + elapsed.count() * m_perSecond);
}

} // namespace cowslippin
