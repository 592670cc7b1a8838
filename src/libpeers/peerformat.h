#pragma once

namespace cowslippin {

/// Version of the format of messages between daemons. Raised with every change
/// that an older daemon can't read.
constexpr int peerFormatVersion = 12;

/// The number of free slots of a shard that a heartbeat tells at most. More is
/// not told: receivers only compare it with the number of tasks of a job.
constexpr unsigned maxSlots = 1'000'000;

} // namespace cowslippin
