#pragma once

#include "libworkers/workers.h"

#include <cstdint>
#include <functional>

namespace cowslippin {

/// Makes fencing tokens that are higher than all that this daemon has heard of,
/// and follow the time of day, so that a daemon that has heard of none yet
/// makes a high one too.
class TokenSource
{
public:
  /// `timeOfDay` is in milliseconds since 1970 and may jump. `processNumber`
  /// differs from one process to the next.
  TokenSource(std::function<std::int64_t()> timeOfDay,
              std::uint64_t processNumber);

  /// A token is in use somewhere.
  void seen(FencingToken token);

  FencingToken next();

  /// A worker has refused a token, for a higher one that isn't known here: the
  /// time of day of whoever made it is ahead, or daemons have outbid each other
  /// before. The next one is higher by more than clocks differ, and by twice as
  /// much after each further refusal in a row: three minutes of tokens are made
  /// up for in seven.
  FencingToken nextAfterRefusal(unsigned refusals);

  FencingToken highest() const { return m_highest; }

private:
  FencingToken above(std::uint64_t margin);

  const std::function<std::int64_t()> m_timeOfDay;
  const std::uint64_t m_processNumber;
  FencingToken m_highest = 0;
};

} // namespace cowslippin
