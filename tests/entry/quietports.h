#pragma once

#include "libentry/entrycore.h"

namespace cowslippin::testing {

/// Ports of a daemon whose workers and store answer nothing.
inline EntryCore::Ports
quietPorts()
{
  EntryCore::Ports ports;
  ports.hold = [](const auto&, const auto&, auto, const auto&) {};
  ports.start = [](const auto&, const auto&, auto, const auto&) {};
  ports.stop = [](const auto&, const auto&, auto, const auto&) {};
  ports.publishHolder = [](const ShardId&, FencingToken) {};
  ports.readConfiguration = [](const std::string&) -> Result<RoutingTable> {
    return RoutingTable();
  };
  ports.isConfigurationArriving = [] { return false; };
  ports.workerChangesForwarded = [](const PeerWorkerChanges&) {};
  return ports;
}

} // namespace cowslippin::testing
