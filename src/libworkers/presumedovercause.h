#pragma once

#include "workerorder.h"

#include <variant>

namespace cowslippin {

/// Why a run counts as over although the worker has not listed its end.
enum class UnlistedEnd
{
  /// An answer or a report had shown the run, and a report requested later
  /// doesn't list it.
  Missing,
  /// The worker has answered its stop, and a report requested later doesn't
  /// list it.
  MissingAfterStop,
  /// The deadline of its start has passed on the worker's clock, and the report
  /// doesn't list it.
  StartExpired,
  /// An earlier incarnation of the worker had it.
  EarlierIncarnation,
  /// The lease of a silent worker has expired.
  LeaseExpired,
  /// Another worker answers at the address.
  WorkerReplaced,
};

constexpr const char*
toString(UnlistedEnd cause)
{
  switch (cause) {
    case UnlistedEnd::Missing:
      return "missing";
    case UnlistedEnd::MissingAfterStop:
      return "missing-after-stop";
    case UnlistedEnd::StartExpired:
      return "start-expired";
    case UnlistedEnd::EarlierIncarnation:
      return "earlier-incarnation";
    case UnlistedEnd::LeaseExpired:
      return "lease-expired";
    case UnlistedEnd::WorkerReplaced:
      return "worker-replaced";
  }
  return "unknown";
}

/// Why a run is presumed over; an `OrderFailure` if its start was refused or
/// could not be sent.
using PresumedOverCause = std::variant<UnlistedEnd, OrderFailure>;

inline const char*
toString(const PresumedOverCause& cause)
{
  return std::visit([](auto value) { return toString(value); }, cause);
}

} // namespace cowslippin
