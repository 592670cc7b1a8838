#include "daemonsettings.h"

#include <tuple>

namespace cowslippin {

namespace {

auto
tied(const DaemonSettings& settings)
{
  return std::make_tuple(settings.vmId(),
                         settings.zone(),
                         settings.region(),
                         settings.httpListen(),
                         settings.peerListen(),
                         settings.advertisedHttpAddress(),
                         settings.advertisedPeerAddress(),
                         settings.platform(),
                         settings.logLevel(),
                         settings.maxHttpThreads(),
                         settings.maxBodyBytes(),
                         settings.claimWindow(),
                         settings.maxLiveClaims(),
                         settings.appendsPerSecond(),
                         settings.regionAppendsPerSecond(),
                         settings.heartbeatInterval(),
                         settings.peerSilence(),
                         settings.endpointConnectTimeout(),
                         settings.crossingPenalty(),
                         settings.drainGrace(),
                         settings.maxQueuedTasks(),
                         settings.vmListInterval(),
                         settings.configSnapshotInterval(),
                         settings.logRetention());
}

} // namespace

bool
operator==(const DaemonSettings& a, const DaemonSettings& b)
{
  return tied(a) == tied(b);
}

} // namespace cowslippin
