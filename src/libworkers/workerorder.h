#pragma once

#include "holdreport.h"

#include "libcore/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cowslippin {

/// The larger one wins; a worker ignores orders with a lower one than it has
/// seen. 0 is none.
using FencingToken = std::uint64_t;

/// Renews the lease of all that runs on a worker and asks what became of it.
struct HoldOrder
{
  FencingToken token = 0;
  /// All that runs ends at this time of the worker's clock unless it is
  /// renewed; without it the lease stays as it is.
  std::optional<std::int64_t> deadlineMs;
  /// Ends up to this number need not be told again.
  std::uint64_t acknowledged = 0;
  /// How long the worker may wait for an end before it answers.
  Duration wait = Duration::zero();
};

/// Which order of holding a worker's answer belongs to.
struct SentHold
{
  FencingToken token = 0;
  TimePoint at{};
};

/// Starts one run.
struct StartOrder
{
  FencingToken token = 0;
  RunKey key;
  std::string spec;
  std::int64_t deadlineMs = 0;
};

/// Stops one run, or keeps it from ever starting.
struct StopOrder
{
  FencingToken token = 0;
  RunKey key;
};

/// Why an order was not carried out. Nothing was done in any of these cases
/// but `Unanswered`.
enum class OrderFailure
{
  /// Nothing is known of it.
  Unanswered,
  /// No connection could be had, so that the order was not sent.
  NotSent,
  /// Another daemon has taken the worker with a higher token.
  Fenced,
  /// The run's number is not higher than one that was stopped or has ended.
  StaleRun,
  /// The deadline has passed on the worker's clock.
  Late,
  /// The worker has no room.
  NoRoom,
  /// The worker is unhealthy.
  Unhealthy,
  /// Another life of the worker answers at this address.
  OtherLife,
  /// The worker finds the order wrong.
  Invalid,
};

inline const char*
toString(OrderFailure failure)
{
  switch (failure) {
    case OrderFailure::Unanswered:
      return "unanswered";
    case OrderFailure::NotSent:
      return "not-sent";
    case OrderFailure::Fenced:
      return "fenced";
    case OrderFailure::StaleRun:
      return "stale-run";
    case OrderFailure::Late:
      return "late";
    case OrderFailure::NoRoom:
      return "no-room";
    case OrderFailure::Unhealthy:
      return "unhealthy";
    case OrderFailure::OtherLife:
      return "other-life";
    case OrderFailure::Invalid:
      return "invalid";
  }
  return "unknown";
}

using HoldAnswer = std::variant<HoldReport, OrderFailure>;

/// Nothing if a start or a stop was carried out.
using OrderAnswer = std::optional<OrderFailure>;

} // namespace cowslippin
