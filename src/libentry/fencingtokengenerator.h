#pragma once

#include "libworkers/workers.h"

#include <cstdint>
#include <functional>

namespace cowslippin {

/// Generates fencing tokens. Each is higher than all tokens that this daemon
/// knows of. Tokens follow the time of day, so that a daemon that knows of none
/// yet generates a high one too.
class FencingTokenGenerator
{
public:
  /// `timeOfDay` returns milliseconds since 1970 and may jump. `processNumber`
  /// differs from one process to the next.
  FencingTokenGenerator(std::function<std::int64_t()> timeOfDay,
                        std::uint64_t processNumber);

  /// A token is in use at another daemon or a worker.
  void observe(FencingToken token);

  /// Whether a daemon can have generated the token: it is less than a year
  /// ahead of the time of day. Tokens that are generated above such a one stay
  /// plausible, as the time of day advances faster than they do.
  bool isPlausible(FencingToken token) const;

  FencingToken next();

  /// Generates a token after a worker has refused one in favour of a higher
  /// token that this daemon doesn't know. Either the clock of the daemon that
  /// made the higher one is ahead, or daemons have outbid each other before.
  /// The new token is higher by more than the clocks of machines differ, and
  /// the increment doubles with each further refusal in a row: seven refusals
  /// make up for a difference of three minutes.
  FencingToken nextAfterRefusal(unsigned refusals);

  FencingToken highest() const { return m_highest; }

private:
  FencingToken makeAbove(std::uint64_t margin);

  const std::function<std::int64_t()> m_timeOfDay;
  const std::uint64_t m_processNumber;
  FencingToken m_highest = 0;
};

} // namespace cowslippin
