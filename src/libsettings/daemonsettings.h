#pragma once

#include "libcore/core.h"
#include "libobserve/loglevel.h"

#include <cstddef>
#include <utility>

namespace cowslippin {

/// A region: availability zones that share claims and an append budget.
using RegionName = Name<struct RegionTag>;

/// How one daemon runs. All values have been checked.
class DaemonSettings
{
public:
  struct Fields
  {
    /// This VM as the platform's list names it.
    VmId vmId;
    ZoneName zone;
    RegionName region;
    /// Where callers and operators are answered; port 0 = the kernel chooses.
    Address httpListen;
    /// Where other daemons are answered; port 0 = the kernel chooses.
    Address peerListen;
    /// How others reach `httpListen`; the same address unless set, then with
    /// port 0 still to be replaced by the one that the kernel chose.
    Address advertisedHttpAddress;
    /// How others reach `peerListen`; in the same way.
    Address advertisedPeerAddress;
    Address platform;
    LogLevel logLevel = LogLevel::Info;
    unsigned maxHttpThreads = 0;
    std::size_t maxBodyBytes = 0;
    /// How long a resubmission of a key is recognised.
    Duration claimWindow{ 0 };
    /// How long the platform's log surely keeps a record.
    Duration logRetention{ 0 };
    std::size_t maxLiveClaims = 0;
    /// The most appends to the claim stream while it appends for itself.
    double appendsPerSecond = 0;
    /// The most while it appends for all daemons of its region.
    double regionAppendsPerSecond = 0;
    Duration heartbeatInterval{ 0 };
    /// How long a peer's connection may be silent.
    Duration peerSilence{ 0 };
    Duration endpointConnectTimeout{ 0 };
    /// What running a task in another zone costs, as time.
    Duration crossingPenalty{ 0 };
    /// How long a shutdown waits for work in flight.
    Duration drainGrace{ 0 };
    std::size_t maxQueuedTasks = 0;
    Duration vmListInterval{ 0 };
    /// How often the configuration is written anew as one record.
    Duration configSnapshotInterval{ 0 };
  };

  explicit DaemonSettings(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const VmId& vmId() const { return m_fields.vmId; }
  const ZoneName& zone() const { return m_fields.zone; }
  const RegionName& region() const { return m_fields.region; }
  const Address& httpListen() const { return m_fields.httpListen; }
  const Address& peerListen() const { return m_fields.peerListen; }
  const Address& advertisedHttpAddress() const
  {
    return m_fields.advertisedHttpAddress;
  }
  const Address& advertisedPeerAddress() const
  {
    return m_fields.advertisedPeerAddress;
  }
  const Address& platform() const { return m_fields.platform; }
  LogLevel logLevel() const { return m_fields.logLevel; }
  unsigned maxHttpThreads() const { return m_fields.maxHttpThreads; }
  std::size_t maxBodyBytes() const { return m_fields.maxBodyBytes; }
  Duration claimWindow() const { return m_fields.claimWindow; }
  Duration logRetention() const { return m_fields.logRetention; }
  std::size_t maxLiveClaims() const { return m_fields.maxLiveClaims; }
  double appendsPerSecond() const { return m_fields.appendsPerSecond; }
  double regionAppendsPerSecond() const
  {
    return m_fields.regionAppendsPerSecond;
  }
  Duration heartbeatInterval() const { return m_fields.heartbeatInterval; }
  Duration peerSilence() const { return m_fields.peerSilence; }
  Duration endpointConnectTimeout() const
  {
    return m_fields.endpointConnectTimeout;
  }
  Duration crossingPenalty() const { return m_fields.crossingPenalty; }
  Duration drainGrace() const { return m_fields.drainGrace; }
  std::size_t maxQueuedTasks() const { return m_fields.maxQueuedTasks; }
  Duration vmListInterval() const { return m_fields.vmListInterval; }
  Duration configSnapshotInterval() const
  {
    return m_fields.configSnapshotInterval;
  }

  friend bool operator==(const DaemonSettings& a, const DaemonSettings& b);
  friend bool operator!=(const DaemonSettings& a, const DaemonSettings& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
