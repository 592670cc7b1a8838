#include "admittedshare.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Bounds the time between two decreases while jobs wait for long: the backlog
/// would grow for a second after each decrease otherwise.
constexpr Duration maxDecreaseInterval = std::chrono::milliseconds(200);

} // namespace

void
AdmittedShare::tick(Duration lag, TimePoint now)
{
  const std::chrono::duration<double> elapsed =
    m_lastTickAt ? now - *m_lastTickAt : Duration::zero();
  m_lastTickAt = now;
  if (lag > m_settings.maxLag)
    decrease(lag, now);
  else if (lag < m_settings.targetLag)
    m_value =
      std::min(m_value + m_settings.increasePerSecond * elapsed.count(), 1.0);
}

void
AdmittedShare::decrease(Duration lag, TimePoint now)
{
  if (isLimiting() &&
      now - m_decreasedAt <
        std::clamp(lag, m_settings.minDecreaseInterval, maxDecreaseInterval))
    return;
  m_decreasedAt = now;
  const double factor =
    std::clamp(double(m_settings.maxLag.count()) / double(lag.count()),
               m_settings.strongestDecrease,
               m_settings.weakestDecrease);
  m_value = std::max(m_value * factor, m_settings.minShare);
}

void
AdmittedShare::reset()
{
  m_value = 1;
  m_lastTickAt.reset();
}

Duration
AdmittedShare::timeToFull() const
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    (1 - m_value) / m_settings.increasePerSecond));
}

} // namespace cowslippin
