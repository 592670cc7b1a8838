#pragma once

#include "libcore/core.h"

#include <cstddef>

namespace cowslippin {

/// How an endpoint is chosen among those with a free slot.
enum class EndpointChoice
{
  /// The lowest cost by this daemon's own attempts, over all endpoints.
  LeastInFlight,
  /// The better of two random ones, by what they last said of their slots.
  TwoChoices,
};

/// When an endpoint gets no more work and how it is tried again.
struct EjectionSettings
{
  /// Failures in a row that eject it, unless the others fail as well.
  int consecutiveFailures = 5;
  /// The failure ratio above which it may be ejected...
  double failureRatio = 0.5;
  /// ...when it is also this many times that of the service's others...
  double failureRatioOverOthers = 3.0;
  /// ...and at least this many attempts ended.
  int minimumAttempts = 10;
  /// The largest part of a service's endpoints that is ejected at once.
  double maxShare = 0.5;
  /// The wait before the first probe; doubled by each probe that fails.
  Duration firstBackoff = std::chrono::seconds(1);
  Duration longestBackoff = std::chrono::seconds(60);
  /// How long a probe that is due waits for repeatable work. Then any task may
  /// be the probe, or an endpoint would never come back to a service that has
  /// no repeatable work.
  Duration waitForRepeatableProbe = std::chrono::seconds(30);
};

/// The parameters of a dispatcher. The defaults suit tasks of 50 ms to 1 s.
struct DispatchSettings
{
  EndpointChoice choice = EndpointChoice::LeastInFlight;
  /// What going to another zone costs against waiting or loading more here.
  Duration crossingPenalty = std::chrono::milliseconds(100);
  /// The part of each endpoint's slots that this daemon may fill, at least 1.
  double slotShare = 1.0;
  /// What using an endpoint costs that was full when it last replied.
  Duration fullPenalty = std::chrono::milliseconds(300);
  /// What using a slot that was dealt to another daemon costs against waiting
  /// or loading more elsewhere.
  Duration borrowingPenalty = std::chrono::milliseconds(1000);
  /// How many free slots of an endpoint are left to the others, unless more
  /// tasks wait than this daemon has slots of its own.
  int lendingReserve = 1;
  /// How long an endpoint must be silent before one of its slots is borrowed
  /// to learn whether some are free.
  Duration lendingInterval = std::chrono::milliseconds(400);
  /// How many tasks may wait in all.
  std::size_t maxQueued = 20000;
  /// The largest part of the queue that one organisation may fill.
  double organisationQueueShare = 0.5;
  /// Retries of attempts that may have run, as a part of all starts.
  double retryRatio = 0.1;
  /// How many such retries may be saved up.
  double retryBurst = 10.0;
  /// An endpoint this many times slower than the median gets fewer tasks.
  double slowFactor = 3.0;
  /// How long tasks wait when every endpoint they could use has left.
  Duration noEndpointPatience = std::chrono::seconds(5);
  /// The limits of what a refused caller is told to wait.
  Duration shortestRetryAfter = std::chrono::milliseconds(100);
  Duration longestRetryAfter = std::chrono::seconds(60);
  EjectionSettings ejection;
};

} // namespace cowslippin
