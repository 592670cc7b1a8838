#include "peercontact.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Holders send heartbeats more often when their free places change.
constexpr Duration acknowledgementInterval = std::chrono::milliseconds(120);
/// With a contact that is older, a heartbeat is sent out of turn: in a large
/// group its turn may be far.
constexpr Duration askedAfter = std::chrono::milliseconds(400);

} // namespace

void
PeerContact::beatReceived(const VmId& vm, SentAt sentAt)
{
  Peer& peer = m_peers[vm];
  peer.newest = std::max(peer.newest, sentAt);
}

PeerContact::SentAt
PeerContact::acknowledgement(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  return found == m_peers.end() ? 0 : found->second.settled;
}

std::optional<PeerContact::SentAt>
PeerContact::takeDue(const VmId& vm, TimePoint now)
{
  const auto found = m_peers.find(vm);
  if (found == m_peers.end())
    return std::nullopt;
  Peer& peer = found->second;
  if (peer.settled <= peer.told || now - peer.toldAt < acknowledgementInterval)
    return std::nullopt;
  peer.told = peer.settled;
  peer.toldAt = now;
  return peer.settled;
}

bool
PeerContact::takeAsking(const VmId& vm, TimePoint now)
{
  Peer& peer = m_peers[vm];
  if (now - peer.contact <= askedAfter ||
      now - peer.askedAt < acknowledgementInterval)
    return false;
  peer.askedAt = now;
  return true;
}

void
PeerContact::acknowledged(const VmId& vm, SentAt sentAt, TimePoint now)
{
  const TimePoint at{ Duration(sentAt) };
  // Of an earlier life of this machine, whose clock went further.
  if (at > now)
    return;
  Peer& peer = m_peers[vm];
  peer.contact = std::max(peer.contact, at);
}

void
PeerContact::lost(const VmId& vm)
{
  m_peers.erase(vm);
}

void
PeerContact::tick(TimePoint now)
{
  for (auto& [vm, peer] : m_peers) {
    peer.settled = peer.atTick;
    peer.atTick = peer.newest;
  }
  m_previousTickAt = m_tickAt;
  m_tickAt = now;
}

TimePoint
PeerContact::lastContact(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  return found == m_peers.end() ? TimePoint{} : found->second.contact;
}

} // namespace cowslippin
