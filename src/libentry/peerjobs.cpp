#include "peerjobs.h"

#include "heartbeatschedule.h"

#include "libjobs/jobs.h"

#include <algorithm>

namespace cowslippin {

void
PeerJobs::update(const VmId& vm,
                 const std::vector<LongRunningJob>& jobs,
                 TimePoint now)
{
  Peer& peer = m_peers[vm];
  if (peer.lostAt) {
    keepOrphans(peer);
    peer.lostAt.reset();
    --m_lostPeers;
  }
  expire(now);
  peer.jobs.clear();
  for (const LongRunningJob& job : jobs)
    peer.jobs.insert(job.job);
  peer.reportedAt = now;
}

void
PeerJobs::ended(const VmId& vm, const JobId& job)
{
  const auto found = m_peers.find(vm);
  if (found != m_peers.end())
    found->second.jobs.erase(job);
}

void
PeerJobs::peerLost(const VmId& vm, TimePoint now)
{
  const auto found = m_peers.find(vm);
  if (found != m_peers.end()) {
    if (!found->second.lostAt)
      ++m_lostPeers;
    found->second.lostAt = now;
  }
  expire(now);
}

std::optional<PeerJobs::Location>
PeerJobs::find(const JobId& job, TimePoint now) const
{
  TimePoint overAt = now;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.jobs.count(job) == 0)
      continue;
    if (!peer.lostAt)
      return Location{ vm, TimePoint() };
    overAt = std::max(overAt, PeerJobs::orphansEndAt(peer));
  }
  const auto orphan = m_orphanedUntil.find(job);
  if (orphan != m_orphanedUntil.end())
    overAt = std::max(overAt, orphan->second);
  if (overAt == now)
    return std::nullopt;
  return Location{ std::nullopt, overAt };
}

void
PeerJobs::keepOrphans(const Peer& peer)
{
  for (const JobId& job : peer.jobs) {
    TimePoint& orphan = m_orphanedUntil[job];
    orphan = std::max(orphan, orphansEndAt(peer));
  }
}

void
PeerJobs::expire(TimePoint now)
{
  if (m_lostPeers > 0)
    expireLostPeers(now);
  for (auto orphan = m_orphanedUntil.begin(); orphan != m_orphanedUntil.end();)
    orphan =
      now >= orphan->second ? m_orphanedUntil.erase(orphan) : std::next(orphan);
}

void
PeerJobs::expireLostPeers(TimePoint now)
{
  for (auto peer = m_peers.begin(); peer != m_peers.end();) {
    const bool isOver =
      peer->second.lostAt && now >= orphansEndAt(peer->second);
    if (isOver)
      --m_lostPeers;
    peer = isOver ? m_peers.erase(peer) : std::next(peer);
  }
}

/// When all runs of a lost peer have ended. A silent peer was alive until its
/// next heartbeat was due at the latest, or it would have sent that heartbeat.
TimePoint
PeerJobs::orphansEndAt(const Peer& peer)
{
  const TimePoint nextAt =
    peer.reportedAt + HeartbeatSchedule::Settings().interval;
  return std::min(peer.lostAt.value_or(nextAt), nextAt) + maxOrphanedRun;
}

} // namespace cowslippin
