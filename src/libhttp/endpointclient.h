#pragma once

#include "callend.h"
#include "endpointcall.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace cowslippin {

/// Identifies a call of one client.
using CallId = std::uint64_t;

/// Calls endpoints by HTTP without blocking. A request is written at most
/// once: the client never resends. Connections are kept and used again, one
/// call at a time on each, never more to an endpoint than it allows.
class EndpointClient
{
public:
  struct Settings
  {
    unsigned ioThreads = 2;
    /// A longer answer is an invalid one.
    std::size_t maxAnswerBytes = std::size_t{ 16 } * 1024 * 1024;
    Duration connectTimeout = std::chrono::seconds(1);
    /// A connection idle for longer is closed and not used again, since
    /// something on the path may have forgotten it.
    Duration maxIdleAge = std::chrono::seconds(5);
    /// How long a call waits for its answer before a new connection to the
    /// endpoint is tried, and again after each such time.
    Duration silenceProbeAfter = std::chrono::seconds(2);
    /// How long the health check on the new connection may take; enough for a
    /// connection request that was dropped to be sent again.
    Duration probeTimeout = std::chrono::milliseconds(2500);
    /// How long sent bytes may stay unacknowledged before the connection
    /// counts as lost (TCP_USER_TIMEOUT).
    Duration unacknowledgedLimit = std::chrono::seconds(4);
    /// How long a quiet connection is left before TCP probes it, and the time
    /// between its probes. Whole seconds.
    Duration keepAliveIdle = std::chrono::seconds(3);
    Duration keepAliveInterval = std::chrono::seconds(1);
  };

  /// Told how a call ended, once, on one of the client's I/O threads. It must
  /// not block and must not throw; it may start further calls.
  using Done = std::function<void(const CallEnd&)>;

  explicit EndpointClient(Settings settings);
  /// Stops.
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  /// Starts a call. Safe from any thread. A call made after `stop` ends on the
  /// calling thread.
  CallId call(const EndpointCall& call, Done done);

  /// Ends a call early, as `NotSent` or `SentNoAnswer`, and closes its
  /// connection. Does nothing if it has ended.
  void cancel(CallId id);

  /// Calls started and not ended.
  std::size_t callsInFlight() const;

  /// Ends every call as `cancel` does, and the I/O threads. Must not be called
  /// from a callback.
  void stop();

private:
  class Core;

  std::unique_ptr<Core> m_core;
};

} // namespace cowslippin
