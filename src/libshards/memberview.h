#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <map>

namespace cowslippin {

/// State of another daemon as reported in its last heartbeat.
struct MemberView
{
  VmId id;
  ZoneName zone;
  /// The daemon is shutting down and releases its shards.
  bool isLeaving = false;
  /// The daemon gets too little processor time for its work.
  bool isCpuStarved = false;
  /// How slow the daemon's machine is: the logarithm of the time that a fixed
  /// amount of work takes.
  int slowness = 0;
  /// How many workers the daemon can hold.
  std::size_t workerCapacity = 1;
  /// How many tasks a second the daemon can start and follow.
  std::size_t taskRate = 1;
  /// The daemon had started shortly before the heartbeat.
  bool hasJustStarted = false;
  /// The daemon has a configuration and a list of workers.
  bool isReady = false;
  /// The shards that the daemon holds, each with the fencing token under which
  /// it took the shard.
  std::map<ShardId, std::uint64_t> shards;

  friend bool operator==(const MemberView& a, const MemberView& b)
  {
    return a.id == b.id && a.zone == b.zone && a.isLeaving == b.isLeaving &&
           a.isCpuStarved == b.isCpuStarved && a.slowness == b.slowness &&
           a.workerCapacity == b.workerCapacity && a.taskRate == b.taskRate &&
           a.hasJustStarted == b.hasJustStarted && a.isReady == b.isReady &&
           a.shards == b.shards;
  }
  friend bool operator!=(const MemberView& a, const MemberView& b)
  {
    return !(a == b);
  }
};

} // namespace cowslippin
