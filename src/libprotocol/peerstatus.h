#pragma once

#include "libcore/address.h"
#include "libcore/clock.h"
#include "libcore/ids.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace cowslippin {

/// What is known of a peer at a moment, for dumps.
class PeerStatus
{
public:
  struct Fields
  {
    VmId vm;
    /// Where the peer listens; unset while the VM list doesn't name it.
    Address address;
    /// Of the last Hello; empty before the first.
    Incarnation incarnation;
    ZoneName zone;
    /// Whether there is a connection over which messages can be sent.
    bool connected = false;
    /// Whether `peerUp` was reported and no `peerDown` since.
    bool reportedUp = false;
    /// The newest configuration the peer said it has in force.
    Offset configOffset = 0;
    /// How many tasks the peer said it holds.
    std::uint32_t load = 0;
    /// When the last message came; nothing before the first.
    std::optional<TimePoint> lastHeard;
    /// Of the last heartbeat; only the side that dialled measures it.
    std::optional<Duration> roundTrip;
  };

  PeerStatus() = default;
  explicit PeerStatus(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const VmId& vm() const { return m_fields.vm; }
  const Address& address() const { return m_fields.address; }
  const Incarnation& incarnation() const { return m_fields.incarnation; }
  const ZoneName& zone() const { return m_fields.zone; }
  bool connected() const { return m_fields.connected; }
  bool reportedUp() const { return m_fields.reportedUp; }
  Offset configOffset() const { return m_fields.configOffset; }
  std::uint32_t load() const { return m_fields.load; }
  const std::optional<TimePoint>& lastHeard() const
  {
    return m_fields.lastHeard;
  }
  const std::optional<Duration>& roundTrip() const
  {
    return m_fields.roundTrip;
  }

  /// How long the peer has been silent at `now`, or nothing when it was never
  /// heard.
  std::optional<Duration> lastHeardAge(TimePoint now) const
  {
    if (!m_fields.lastHeard)
      return std::nullopt;
    return now - *m_fields.lastHeard;
  }

  friend bool operator==(const PeerStatus& a, const PeerStatus& b)
  {
    return a.m_fields.vm == b.m_fields.vm &&
           a.m_fields.address == b.m_fields.address &&
           a.m_fields.incarnation == b.m_fields.incarnation &&
           a.m_fields.zone == b.m_fields.zone &&
           a.m_fields.connected == b.m_fields.connected &&
           a.m_fields.reportedUp == b.m_fields.reportedUp &&
           a.m_fields.configOffset == b.m_fields.configOffset &&
           a.m_fields.load == b.m_fields.load &&
           a.m_fields.lastHeard == b.m_fields.lastHeard &&
           a.m_fields.roundTrip == b.m_fields.roundTrip;
  }
  friend bool operator!=(const PeerStatus& a, const PeerStatus& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
