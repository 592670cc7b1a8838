#pragma once

#include "libcore/clock.h"

namespace cowslippin {

/// Version of the format of messages between daemons. Raised with every change
/// that an older daemon can't read.
constexpr int peerFormatVersion = 13;

/// Largest number of free slots of a shard in a heartbeat. Larger numbers are
/// sent as this one.
constexpr unsigned maxSlots = 1'000'000;

/// Longest duration in a message, in either direction of time; longer ones are
/// sent as this one. It is longer than anything in progress, and short enough
/// to be added to any time.
constexpr Duration maxPeerDuration = std::chrono::hours(24 * 30);

} // namespace cowslippin
