#pragma once

namespace cowslippin {

/// Version of the format of messages between daemons. Raised with every change
/// that an older daemon can't read.
constexpr int peerFormatVersion = 12;

} // namespace cowslippin
