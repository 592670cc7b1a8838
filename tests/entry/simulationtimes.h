#pragma once

#include "libcore/clock.h"

#include <cstdint>

namespace cowslippin::testing {

/// Time that a message takes through the network in one direction.
inline constexpr Duration oneWayDelay = std::chrono::microseconds(700);
inline constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// Time after which a daemon regards a silent connection as lost.
inline constexpr Duration silenceLimit = std::chrono::milliseconds(450);
inline constexpr Duration reconnectInterval = std::chrono::milliseconds(120);
/// Time of day at the zero point of the steady clock, in ms since 1970.
inline constexpr std::int64_t initialTimeOfDayMs = 1800000000000;

} // namespace cowslippin::testing
