#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <map>

namespace cowslippin {

/// Daemons that were lost and haven't come back. They tell whether this one may
/// be cut off from the larger part of the group, where its callers may submit
/// their jobs again without its knowledge. It does no input or output and reads
/// no clock.
class MemberLosses
{
public:
  void lost(const VmId& vm, TimePoint now) { m_lost[vm] = now; }
  void back(const VmId& vm) { m_lost.erase(vm); }

  /// Whether no more daemons can be reached, this one included, than have been
  /// lost of late.
  bool isCutOff(std::size_t reachable, TimePoint now) const;

private:
  std::map<VmId, TimePoint> m_lost;
};

} // namespace cowslippin
