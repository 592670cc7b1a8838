#include "fencingtokengenerator.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// A token is the time of day in milliseconds since 2024 times `tokensPerMs`,
/// plus a remainder that depends on the process, so that two daemons don't
/// generate the same token. Tokens stay below 2^53, which any JSON parser reads
/// exactly.
constexpr std::uint64_t tokensPerMs = 4096;
constexpr std::int64_t tokenEpochMs = 1704067200000;
/// Minimum increment above the highest known token.
constexpr std::uint64_t minIncrement = tokensPerMs;
/// The clocks of the machines differ by less than this.
constexpr std::uint64_t maxClockDifferenceMs = 3000;
/// Minimum increment after a refusal.
constexpr std::uint64_t refusalIncrement = maxClockDifferenceMs * tokensPerMs;
/// Maximum number of doublings of `refusalIncrement`; it then stands for 51
/// minutes.
constexpr unsigned maxDoublings = 10;
/// Refusals don't move a token this far ahead of the time of day.
constexpr std::int64_t maxAheadMs = std::int64_t(365) * 24 * 3600 * 1000;

} // namespace

FencingTokenGenerator::FencingTokenGenerator(
  std::function<std::int64_t()> timeOfDay,
  std::uint64_t processNumber)
  : m_timeOfDay(std::move(timeOfDay))
  , m_processNumber(processNumber)
{
}

void
FencingTokenGenerator::observe(FencingToken token)
{
  m_highest = std::max(m_highest, token);
}

bool
FencingTokenGenerator::isPlausible(FencingToken token) const
{
  const std::int64_t sinceEpoch = m_timeOfDay() - tokenEpochMs;
  return token / tokensPerMs <
         static_cast<std::uint64_t>(std::max<std::int64_t>(sinceEpoch, 0) +
                                    maxAheadMs);
}

FencingToken
FencingTokenGenerator::next()
{
  return makeAbove(minIncrement);
}

FencingToken
FencingTokenGenerator::nextAfterRefusal(unsigned refusals)
{
  if (refusals == 0)
    return next();
  const unsigned doublings = std::min(refusals - 1, maxDoublings);
  return makeAbove(refusalIncrement << doublings);
}

FencingToken
FencingTokenGenerator::makeAbove(std::uint64_t margin)
{
  const std::int64_t sinceEpoch = m_timeOfDay() - tokenEpochMs;
  const auto fromClock =
    static_cast<std::uint64_t>(std::max<std::int64_t>(sinceEpoch, 1)) *
    tokensPerMs;
  const std::uint64_t next = std::max(fromClock, m_highest + margin);
  m_highest = next / tokensPerMs * tokensPerMs + m_processNumber % tokensPerMs;
  return m_highest;
}

} // namespace cowslippin
