#pragma once

#include "libcore/core.h"

#include <string>
#include <vector>

namespace cowslippin {

/// The size and distances of one deployment.
struct Deployment
{
  std::string name;
  int zones = 1;
  /// One way, between zones and from a client to a daemon.
  Duration betweenZones;
  Duration fromClient;
  int daemons = 8;
  int endpoints = 50;
  int slots = 8;
  int connections = 64;
  /// The default price of crossing a zone.
  Duration crossingPenalty;

  int allSlots() const { return endpoints * slots; }
};

/// The two deployments, and `central`: as many slots in one zone behind one
/// daemon that sees all, which is what the hardware allows.
std::vector<Deployment>
deployments();

} // namespace cowslippin
