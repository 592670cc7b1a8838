#pragma once

#include <cstddef>

namespace cowslippin {

/// Resources that a daemon's machine may use. 0 means that a resource isn't
/// limited.
struct MachineLimits
{
  /// Processor seconds per second.
  double cores = 0;
  /// Bandwidth of the network link in each direction.
  double megabitsPerSecond = 0;
  /// Resident memory of the process, in 2^20 bytes, with the bytes that its
  /// sockets have received and that weren't read.
  double memoryMegabytes = 0;
  /// Open descriptors of the process.
  double descriptors = 0;

  friend bool operator==(const MachineLimits& a, const MachineLimits& b)
  {
    return a.cores == b.cores && a.megabitsPerSecond == b.megabitsPerSecond &&
           a.memoryMegabytes == b.memoryMegabytes &&
           a.descriptors == b.descriptors;
  }
  friend bool operator!=(const MachineLimits& a, const MachineLimits& b)
  {
    return !(a == b);
  }
};

/// Maximum number of workers per shard, so that the loss of one holder affects
/// few of a zone's jobs.
constexpr std::size_t maxWorkersPerShard = 40;

/// Returns how many workers a daemon on such a machine can hold, at least 1 and
/// at most `maxWorkersPerShard`.
///
/// This prevents shards whose orders fill the network link or the processor of
/// their holder. Orders and answers would queue up, be taken for lost and be
/// sent again, and that load would keep the queues full long after its cause
/// has ended.
std::size_t
maxWorkersFor(const MachineLimits& limits);

/// Returns how many tasks a second a daemon on such a machine can start and
/// follow beside the work for its callers and its peers, at least 1.
///
/// The shards of a zone are spread in proportion to this. Machines of a zone
/// may differ by factors: one of 0.1 cores needs nearly all of its processor
/// for its callers, and a shard on it overloads it although others have
/// processor time left.
std::size_t
taskRateFor(const MachineLimits& limits);

} // namespace cowslippin
