#include "registrarchoice.h"

#include "libjobs/jobs.h"

#include <functional>
#include <utility>

namespace cowslippin {

namespace {

/// A lost peer that isn't back by then counts as new when it connects.
constexpr Duration forgottenAfter = std::chrono::seconds(30);
/// How long the daemons of a group that was partitioned take to connect to each
/// other again and to renew the registrations that have moved.
constexpr Duration reconnectionTime = std::chrono::milliseconds(400);

template<class Tag>
std::uint64_t
hashOf(const Name<Tag>& name)
{
  return std::hash<std::string>()(name.value());
}

/// The finalizer of SplitMix64, which spreads differences over all bits.
std::uint64_t
mix(std::uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

} // namespace

RegistrarChoice::RegistrarChoice(VmId self, TimePoint now)
  : m_self(std::move(self))
  , m_ownHash(hashOf(m_self))
  , m_startedAt(now)
{
}

void
RegistrarChoice::peerUp(const PeerHello& hello, TimePoint now)
{
  forgetLost(now);
  const auto [found, isNew] = m_peers.try_emplace(hello.vm);
  Peer& peer = found->second;
  const bool isSameProcess = !isNew && peer.incarnation == hello.incarnation;
  if (isSameProcess && peer.lostAt)
    peer.backAt = now;
  peer.hash = hashOf(hello.vm);
  peer.isUp = true;
  peer.incarnation = hello.incarnation;
  if (isSameProcess)
    peer.lostAt.reset();
  else
    peer.processKnownSince = now;
}

void
RegistrarChoice::peerDown(const VmId& vm, TimePoint now)
{
  forgetLost(now);
  const auto found = m_peers.find(vm);
  if (found == m_peers.end())
    return;
  found->second.isUp = false;
  found->second.lostAt = now;
}

VmId
RegistrarChoice::registrarOf(const JobId& job) const
{
  const std::uint64_t jobHash = hashOf(job);
  const VmId* best = &m_self;
  std::uint64_t bestRank = mix(jobHash ^ m_ownHash);
  for (const auto& [vm, peer] : m_peers) {
    const std::uint64_t rank = mix(jobHash ^ peer.hash);
    if (!peer.isUp || rank <= bestRank)
      continue;
    best = &vm;
    bestRank = rank;
  }
  return *best;
}

bool
RegistrarChoice::isComplete(const JobId& job,
                            bool haveAllJustStarted,
                            TimePoint now) const
{
  const bool hasJustStarted =
    now - m_startedAt < maxOrphanedRun && !haveAllJustStarted;
  if (hasJustStarted || registrarOf(job) != m_self)
    return false;
  const std::uint64_t jobHash = hashOf(job);
  const std::uint64_t ownRank = mix(jobHash ^ m_ownHash);
  for (const auto& [vm, peer] : m_peers) {
    const bool mayHaveBeenRegistrar = peer.lostAt &&
                                      now - *peer.lostAt < maxOrphanedRun &&
                                      mix(jobHash ^ peer.hash) > ownRank;
    if (mayHaveBeenRegistrar)
      return false;
  }
  return true;
}

std::vector<VmId>
RegistrarChoice::recentlyBack(TimePoint now) const
{
  std::vector<VmId> back;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.isUp && peer.backAt && now - *peer.backAt < reconnectionTime)
      back.push_back(vm);
  }
  return back;
}

bool
RegistrarChoice::isConnected(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  return found != m_peers.end() && found->second.isUp;
}

std::optional<TimePoint>
RegistrarChoice::processKnownSince(const VmId& vm) const
{
  if (!isConnected(vm))
    return std::nullopt;
  return m_peers.at(vm).processKnownSince;
}

void
RegistrarChoice::forgetLost(TimePoint now)
{
  for (auto peer = m_peers.begin(); peer != m_peers.end();) {
    const bool isForgotten = !peer->second.isUp && peer->second.lostAt &&
                             now - *peer->second.lostAt > forgottenAfter;
    peer = isForgotten ? m_peers.erase(peer) : std::next(peer);
  }
}

} // namespace cowslippin
