#pragma once

#include "libcore/clock.h"

#include <cstdint>

namespace cowslippin::testing {

/// The way of a message through the network.
inline constexpr Duration oneWay = std::chrono::microseconds(700);
inline constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// How long other daemons take to notice one that has fallen silent.
inline constexpr Duration silenceLimit = std::chrono::milliseconds(450);
inline constexpr Duration reconnectInterval = std::chrono::milliseconds(120);
/// The time of day at the beginning of the steady clock.
inline constexpr std::int64_t firstTimeOfDayMs = 1800000000000;

} // namespace cowslippin::testing
