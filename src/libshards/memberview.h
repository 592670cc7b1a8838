#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <map>

namespace cowslippin {

/// What another daemon says of itself, as of its last heartbeat.
struct MemberView
{
  VmId id;
  ZoneName zone;
  /// It is shutting down and gives up what it holds.
  bool isLeaving = false;
  /// It has too little processor time for what it does.
  bool isStrained = false;
  /// How slow its machine is: the logarithm of what a fixed work takes.
  int slowness = 0;
  /// How many workers it can hold.
  std::size_t carried = 1;
  /// It had started only just before.
  bool isNew = false;
  /// It has a configuration and a list of workers.
  bool isReady = false;
  /// The shards it holds, each with the token it took them with.
  std::map<ShardId, std::uint64_t> shards;

  friend bool operator==(const MemberView& a, const MemberView& b)
  {
    return a.id == b.id && a.zone == b.zone && a.isLeaving == b.isLeaving &&
           a.isStrained == b.isStrained && a.slowness == b.slowness &&
           a.carried == b.carried && a.isNew == b.isNew &&
           a.isReady == b.isReady && a.shards == b.shards;
  }
  friend bool operator!=(const MemberView& a, const MemberView& b)
  {
    return !(a == b);
  }
};

} // namespace cowslippin
