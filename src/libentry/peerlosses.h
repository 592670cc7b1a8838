#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <map>

namespace cowslippin {

/// Peers that were lost and haven't come back. Tells whether this daemon may be
/// partitioned from the larger part of the group, where its callers may submit
/// their jobs again without its knowledge. It does no I/O and reads no clock.
class PeerLosses
{
public:
  void peerLost(const VmId& vm, TimePoint now) { m_lost[vm] = now; }
  /// Returns whether the peer had been lost.
  bool reconnected(const VmId& vm) { return m_lost.erase(vm) > 0; }

  /// Whether the daemons that can be reached, this one included, are no more
  /// than those that were lost recently.
  bool mayBePartitioned(std::size_t reachable, TimePoint now) const;

  /// Whether any peer was lost recently and hasn't come back.
  bool hasLost(TimePoint now) const { return mayBePartitioned(1, now); }

private:
  std::map<VmId, TimePoint> m_lost;
};

} // namespace cowslippin
