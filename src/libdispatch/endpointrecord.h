#pragma once

#include "endpointhealth.h"

namespace cowslippin {

/// An endpoint with this daemon's attempts at it.
struct EndpointRecord
{
  EndpointRecord(Endpoint listedEndpoint, std::uint64_t serialNumber)
    : endpoint(std::move(listedEndpoint))
    , serial(serialNumber)
  {
  }

  /// Whether it may be given work at all, apart from its health.
  bool isLive() const { return listed && !endpoint.isLeaving(); }
  bool isHealthy() const { return isLive() && !health.isEjected(); }

  Endpoint endpoint;
  /// Tells it from an earlier one with the same id.
  std::uint64_t serial;
  bool listed = true;
  EndpointHealth health;
  int inFlight = 0;
  /// How many attempts this daemon may have there at once.
  int limit = 1;
  /// How many of its slots are this daemon's own; the others are borrowed.
  int dealt = 0;
  /// How many more attempts may be started on borrowed slots, by what it last
  /// said of its free slots.
  int borrowable = 1;
  /// How many of those are lent only against a backlog.
  int reserved = 0;
  bool reportedInInterval = false;
  int silentIntervals = 0;
  /// How many intervals must pass in silence before one is lent blindly; it
  /// grows while none turns out to be free.
  int intervalsToLending = 1;
  /// How many slots the others were using when it last said so.
  int othersInUse = 0;
  /// Its place in its service's pool.
  std::size_t group = 0;
  std::size_t member = 0;
};

} // namespace cowslippin
