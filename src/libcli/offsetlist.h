#pragma once

#include "transport.h"

#include <optional>
#include <vector>

namespace cowslippin {

/// The configuration's offset on one daemon, or why it is not known.
struct DaemonOffset
{
  std::string vm;
  std::string zone;
  std::string httpAddress;
  std::optional<Offset> offset;
  std::string problem;
};

/// Asks each entry VM in the reply to `vmsCall` for the offset of its
/// configuration, one after the other, each for at most `timeout`.
Result<std::vector<DaemonOffset>>
askOffsets(const CallReply& vmsReply,
           const Transport& transport,
           Duration timeout);

} // namespace cowslippin
