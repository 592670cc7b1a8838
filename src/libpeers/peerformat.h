#pragma once

namespace cowslippin {

/// Version of the format of messages between daemons. Raised with every change
/// that an older daemon can't read.
constexpr int peerFormatVersion = 12;

/// Largest number of free slots of a shard in a heartbeat. Larger numbers are
/// sent as this one.
constexpr unsigned maxSlots = 1'000'000;

} // namespace cowslippin
