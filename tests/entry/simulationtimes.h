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
/// Processor time that a daemon spends, for daemons with a modelled processor.
/// A usual job with 3.6 starts and 8 report requests takes about 2.6 ms in
/// total, see docs/design/hard-load.md.
namespace processortime {
inline constexpr Duration tick = std::chrono::microseconds(100);
/// A message of another daemon, or an answer of a worker.
inline constexpr Duration message = std::chrono::microseconds(50);
inline constexpr Duration startOrder = std::chrono::microseconds(200);
/// A report request, or an order to stop a run.
inline constexpr Duration otherOrder = std::chrono::microseconds(50);
/// A request of a caller that is refused on arrival, and what a request that is
/// admitted takes in addition.
inline constexpr Duration refusedRequest = std::chrono::microseconds(150);
inline constexpr Duration admittedRequest = std::chrono::microseconds(550);
} // namespace processortime
/// Time of day at the zero point of the steady clock, in ms since 1970.
inline constexpr std::int64_t initialTimeOfDayMs = 1800000000000;

} // namespace cowslippin::testing
