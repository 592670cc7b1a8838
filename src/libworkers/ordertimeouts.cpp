#include "ordertimeouts.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

/// Weights of the newest answer in the mean and in the mean deviation, as in
/// TCP's round-trip time estimate.
constexpr double meanWeight = 0.125;
constexpr double deviationWeight = 0.25;

} // namespace

void
OrderTimeouts::addAnswerTime(Duration time)
{
  const auto value = double(time.count());
  if (m_answers == 0) {
    m_mean = value;
    m_deviation = value / 2;
  } else {
    m_deviation += (std::abs(value - m_mean) - m_deviation) * deviationWeight;
    m_mean += (value - m_mean) * meanWeight;
  }
  m_answers = std::min(m_answers + 1, m_settings.minAnswers);
}

void
OrderTimeouts::addUnanswered(TimePoint now)
{
  m_losses = losses(now) + 1;
  m_lossAt = now;
}

Duration
OrderTimeouts::answerTimeout() const
{
  return promptAnswerTime() + std::min(m_loopLag, m_settings.maxLagAllowance);
}

Duration
OrderTimeouts::promptAnswerTime() const
{
  if (m_answers < m_settings.minAnswers)
    return m_settings.maxAnswerTimeout;
  const Duration wait(
    std::int64_t(m_mean + m_settings.deviationFactor * m_deviation));
  return std::clamp(
    wait, m_settings.minAnswerTimeout, m_settings.maxAnswerTimeout);
}

Duration
OrderTimeouts::reportWait(TimePoint now) const
{
  return losses(now) >= m_settings.lossThreshold ? m_settings.shortReportWait
                                                 : m_settings.reportWait;
}

double
OrderTimeouts::losses(TimePoint now) const
{
  const double age = double((now - m_lossAt).count());
  return m_losses *
         std::exp(-age / double(m_settings.lossTimeConstant.count()));
}

} // namespace cowslippin
