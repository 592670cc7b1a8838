#pragma once

#include "libplatform/platform.h"

namespace cowslippin {

/// Where a stream of the platform's log is, and who reads it.
struct StreamLocation
{
  Address platform;
  ClientIdentity identity;
  StreamName stream;

  /// The settings of a follower that reads the stream from its beginning.
  LogFollower::Settings followerSettings() const
  {
    LogFollower::Settings settings;
    settings.platform = platform;
    settings.identity = identity;
    settings.stream = stream;
    return settings;
  }
};

} // namespace cowslippin
