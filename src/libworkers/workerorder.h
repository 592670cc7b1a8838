#pragma once

#include "workerreport.h"

#include "libcore/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cowslippin {

/// A worker ignores orders with a lower token than the highest that it has
/// seen. 0 is no token.
using FencingToken = std::uint64_t;

/// Renews the lease of all runs on a worker and requests a report on them.
struct LeaseOrder
{
  FencingToken token = 0;
  /// All runs end at this time of the worker's clock unless the lease is
  /// renewed. Without a deadline the lease stays as it is.
  std::optional<std::int64_t> deadlineMs;
  /// Ends up to this sequence number need not be reported again.
  std::uint64_t acknowledgedEnd = 0;
  /// How long the worker may wait for a run to end before it answers.
  Duration maxWait = Duration::zero();
};

/// Identifies the hold order that a worker's answer belongs to.
struct SentLeaseOrder
{
  FencingToken token = 0;
  TimePoint sentAt{};
};

struct StartOrder
{
  FencingToken token = 0;
  RunKey key;
  std::string spec;
  std::int64_t deadlineMs = 0;
};

/// Stops a run, or prevents it from ever starting.
struct StopOrder
{
  FencingToken token = 0;
  RunKey key;
};

/// Why an order was not carried out. Except for `Unanswered`, the worker has
/// done nothing.
enum class OrderFailure
{
  /// No answer was received; the order may have been carried out.
  Unanswered,
  /// No connection could be made, so that the order was not sent.
  NotSent,
  /// Another daemon has claimed the worker with a higher token.
  Fenced,
  /// The run number is not higher than one that was stopped or has ended.
  StaleRun,
  /// The deadline has passed on the worker's clock.
  Late,
  /// The worker has no free capacity.
  NoRoom,
  Unhealthy,
  /// Another incarnation of the worker, or another worker, answers at this
  /// address.
  OtherIncarnation,
  /// The worker rejects the order as invalid.
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
    case OrderFailure::OtherIncarnation:
      return "other-life";
    case OrderFailure::Invalid:
      return "invalid";
  }
  return "unknown";
}

using LeaseOrderAnswer = std::variant<WorkerReport, OrderFailure>;

/// Empty if a start or a stop was carried out.
using OrderAnswer = std::optional<OrderFailure>;

} // namespace cowslippin
