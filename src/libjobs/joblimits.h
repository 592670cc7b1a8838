#pragma once

#include "libcore/clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace cowslippin {

/// Bounds of what a queue's policy and the needs of a task may contain. Readers
/// of configurations and jobs and the messages between daemons share them, so
/// that a job that one daemon accepts can be sent to any other. Where a value
/// is a limit, a larger one has the effect of the bound.

/// In both directions. The difference of two priorities fits into an `int`.
constexpr int maxPriority = 1'000'000'000;
constexpr unsigned maxRunAttempts = std::numeric_limits<unsigned>::max();
/// With the longest duration of a job, the response time objective still fits
/// into a `Duration` with a margin of a factor of 100.
constexpr double maxStretch = 1'000'000;
/// Longest duration that a configuration or a job may state. No caller waits
/// longer for an answer.
constexpr Duration maxJobDuration = std::chrono::hours(24);
/// More of one resource than any worker has.
constexpr std::int64_t maxResource = 1'000'000'000;

} // namespace cowslippin
