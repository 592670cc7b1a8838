#pragma once

#include "libcore/core.h"

#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace cowslippin {

/// Knows which incarnations have surely ended, from the VM list and from what
/// daemons say of themselves. Thread-safe.
class PeerDirectory
{
public:
  /// The platform's list as last read.
  void listed(const VmList& list);

  /// The daemon on `vm` said that it runs as `incarnation`.
  void heard(const VmId& vm, const Incarnation& incarnation);

  /// What the daemon on `vm` last said that it runs as; empty if nothing.
  Incarnation incarnationOn(const VmId& vm) const;

  /// Whether the incarnation has ended: its VM runs another one, has left the
  /// list, or has not been on it for a while since this was first asked.
  bool isGone(const Incarnation& incarnation, TimePoint now);

private:
  mutable std::mutex m_mutex;
  std::unordered_set<VmId> m_listed;
  std::unordered_set<VmId> m_everListed;
  std::unordered_map<VmId, Incarnation> m_incarnations;
  std::unordered_map<VmId, TimePoint> m_missingSince;
};

} // namespace cowslippin
