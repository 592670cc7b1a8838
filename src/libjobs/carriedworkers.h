#pragma once

#include <cstddef>

namespace cowslippin {

/// What the machine of a daemon may use. 0 where that isn't limited.
struct MachineLimits
{
  /// Processor time a second, in seconds.
  double cores = 0;
  /// Of its network link, each way.
  double megabitsPerSecond = 0;

  friend bool operator==(const MachineLimits& a, const MachineLimits& b)
  {
    return a.cores == b.cores && a.megabitsPerSecond == b.megabitsPerSecond;
  }
  friend bool operator!=(const MachineLimits& a, const MachineLimits& b)
  {
    return !(a == b);
  }
};

/// No daemon holds more workers in one shard, so that the loss of one holder
/// concerns few of a zone's jobs.
constexpr std::size_t mostWorkersPerShard = 40;

/// How many workers a daemon on such a machine can hold, at least 1 and at most
/// `mostWorkersPerShard`.
///
/// It answers shards whose orders fill their holder's link or processor: orders
/// and answers then queue up, are taken for lost and are repeated, and that
/// load keeps the queues full long after their cause.
std::size_t
carriedWorkers(const MachineLimits& limits);

} // namespace cowslippin
