#include "peerliveness.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Minimum time between two acknowledgements. Holders send heartbeats more
/// often than this when their free slots change.
constexpr Duration acknowledgementInterval = std::chrono::milliseconds(120);
/// When the last contact is older than this, a heartbeat is sent out of turn:
/// in a large group the peer's turn may be a long time off.
constexpr Duration outOfTurnAfter = std::chrono::milliseconds(400);
/// How far the clocks of two machines may drift apart over the age of a
/// heartbeat.
constexpr Duration clockTolerance = std::chrono::milliseconds(10);

} // namespace

void
PeerLiveness::heartbeatReceived(const VmId& vm, SentAt sentAt, TimePoint now)
{
  Peer& peer = m_peers[vm];
  if (sentAt <= peer.newest)
    return;
  advanceToLastTick(peer);
  peer.newest = sentAt;
  peer.newestAt = now;
}

PeerHeartbeatAck
PeerLiveness::acknowledgement(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  if (found == m_peers.end())
    return {};
  return { settled(found->second), found->second.newest };
}

Duration
PeerLiveness::acknowledgementAge(const VmId& vm, TimePoint now) const
{
  const auto found = m_peers.find(vm);
  return found == m_peers.end() || found->second.newest == 0
           ? Duration::zero()
           : now - found->second.newestAt;
}

std::optional<TimePoint>
PeerLiveness::sentAfter(const PeerHeartbeatAck& ack,
                        Duration ackAge,
                        TimePoint now)
{
  const TimePoint sentAfter = TimePoint(Duration(ack.newestReceived)) + ackAge;
  // A time in the future was sent before this machine was rebooted, when its
  // steady clock was ahead.
  if (ack.newestReceived == 0 || sentAfter > now + clockTolerance)
    return std::nullopt;
  return std::min(sentAfter, now);
}

std::optional<PeerHeartbeatAck>
PeerLiveness::takeDueAcknowledgement(const VmId& vm, TimePoint now)
{
  const auto found = m_peers.find(vm);
  if (found == m_peers.end())
    return std::nullopt;
  Peer& peer = found->second;
  if (settled(peer) <= peer.acknowledged ||
      now - peer.acknowledgedAt < acknowledgementInterval)
    return std::nullopt;
  peer.acknowledged = settled(peer);
  peer.acknowledgedAt = now;
  return acknowledgement(vm);
}

bool
PeerLiveness::takeOutOfTurnRequest(const VmId& vm, TimePoint now)
{
  Peer& peer = m_peers[vm];
  if (now - peer.contact <= outOfTurnAfter ||
      now - peer.outOfTurnAt < acknowledgementInterval)
    return false;
  peer.outOfTurnAt = now;
  return true;
}

void
PeerLiveness::acknowledged(const VmId& vm,
                           const PeerHeartbeatAck& ack,
                           TimePoint now)
{
  const TimePoint settled{ Duration(ack.newestProcessed) };
  const TimePoint newest{ Duration(ack.newestReceived) };
  // A time in the future was sent before this machine was rebooted, when its
  // steady clock was ahead.
  if (std::max(settled, newest) > now)
    return;
  Peer& peer = m_peers[vm];
  peer.contact = std::max(peer.contact, settled);
  peer.advertisedUntil = std::max(peer.advertisedUntil, newest);
}

void
PeerLiveness::peerLost(const VmId& vm)
{
  m_peers.erase(vm);
}

void
PeerLiveness::tick(TimePoint now)
{
  ++m_tickCount;
  m_previousTickAt = m_tickAt;
  m_tickAt = now;
}

/// When the newest heartbeat was sent that was read before the last complete
/// round of the event loop, by the peer's clock.
PeerLiveness::SentAt
PeerLiveness::settled(const Peer& peer) const
{
  const std::uint64_t ticksSince = m_tickCount - peer.tick;
  if (ticksSince == 0)
    return peer.newestAtPreviousTick;
  return ticksSince == 1 ? peer.newestAtTick : peer.newest;
}

void
PeerLiveness::advanceToLastTick(Peer& peer) const
{
  if (peer.tick == m_tickCount)
    return;
  peer.newestAtPreviousTick = settled(peer);
  peer.newestAtTick = peer.newest;
  peer.tick = m_tickCount;
}

TimePoint
PeerLiveness::lastContact(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  return found == m_peers.end() ? TimePoint{} : found->second.contact;
}

TimePoint
PeerLiveness::advertisedUntil(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  return found == m_peers.end() ? TimePoint{} : found->second.advertisedUntil;
}

} // namespace cowslippin
