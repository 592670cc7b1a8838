#include "partitioncheck.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr Duration probeInterval = std::chrono::milliseconds(20);
/// Several times the round trip between the availability zones of a region.
constexpr Duration answerTime = std::chrono::milliseconds(50);
/// Time in which all daemons connect after the first one was reached.
constexpr Duration reconnectionTime = std::chrono::milliseconds(400);
/// How long answers don't count after one that no connection followed.
constexpr Duration reachedMemory = std::chrono::seconds(3);

} // namespace

PartitionCheck::PartitionCheck(std::function<void()> probe)
  : m_probe(std::move(probe))
{
}

bool
PartitionCheck::peerReached(TimePoint now)
{
  const bool isNew = !m_reachedAt || now - *m_reachedAt >= reachedMemory;
  if (isNew)
    m_reachedAt = now;
  return isNew;
}

void
PartitionCheck::peerConnected(TimePoint now)
{
  m_connectedAt = now;
  m_reachedAt.reset();
}

bool
PartitionCheck::areDaemonsConnecting(TimePoint now) const
{
  return (m_reachedAt && now - *m_reachedAt < reconnectionTime) ||
         (m_connectedAt && now - *m_connectedAt < reconnectionTime);
}

std::optional<TimePoint>
PartitionCheck::waitUntil(TimePoint readAt, TimePoint now)
{
  if (areDaemonsConnecting(now))
    return now + probeInterval;
  // What answers isn't a daemon that connects: further attempts would only fill
  // its backlog.
  if (m_reachedAt && now - *m_reachedAt < reachedMemory)
    return std::nullopt;
  while (!m_probes.empty() && now - m_probes.front() >= answerTime) {
    if (!m_connectedAt || *m_connectedAt < m_probes.front())
      m_unansweredSince = m_probes.front();
    m_probes.pop_front();
  }
  if (m_unansweredSince && *m_unansweredSince >= readAt)
    return std::nullopt;
  if (m_probes.empty() || now - m_probes.back() >= probeInterval) {
    m_probes.push_back(now);
    m_probe();
  }
  const auto first =
    std::find_if(m_probes.begin(), m_probes.end(), [&](TimePoint startedAt) {
      return startedAt >= readAt;
    });
  return first == m_probes.end() ? now + probeInterval : *first + answerTime;
}

} // namespace cowslippin
