#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <vector>

namespace cowslippin {

/// An endpoint as the dispatcher sees it.
struct EndpointStats
{
  EndpointId id;
  int inFlight = 0;
  /// How many attempts this daemon lets it have at once.
  int limit = 0;
  bool ejected = false;
  /// Its run times against the learned ones; 1 is typical.
  double slowness = 1.0;
  double failureRatio = 0.0;
};

/// An organisation's tasks in the dispatcher.
struct OrganisationStats
{
  OrganisationName name;
  std::size_t queued = 0;
  int inFlight = 0;
};

/// The dispatcher's state for dumps and metrics.
struct DispatchStats
{
  std::size_t queued = 0;
  std::size_t inFlight = 0;
  std::uint64_t submitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t retries = 0;
  std::uint64_t ended = 0;
  std::vector<EndpointStats> endpoints;
  std::vector<OrganisationStats> organisations;
};

} // namespace cowslippin
