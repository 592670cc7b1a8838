#include "shardhandover.h"

#include <algorithm>

namespace cowslippin {

bool
ShardHandover::holderReported(const ShardId& shard, std::uint64_t token)
{
  std::uint64_t& highest = m_highestTokens[shard];
  highest = std::max(highest, token);
  const auto taken = m_taken.find(shard);
  if (taken == m_taken.end() || token <= taken->second.previousToken ||
      token >= taken->second.token)
    return false;
  taken->second.previousToken = token;
  return true;
}

std::optional<ShardStatement>
ShardHandover::shardTaken(const ShardId& shard,
                          std::uint64_t token,
                          TimePoint now)
{
  expire(now);
  const auto highest = m_highestTokens.find(shard);
  const std::uint64_t previous =
    highest == m_highestTokens.end() ? 0 : highest->second;
  m_taken[shard] = { token, previous, now };
  holderReported(shard, token);
  const auto received = m_received.find(shard);
  if (received == m_received.end())
    return std::nullopt;
  const Received statement = std::move(received->second);
  m_received.erase(received);
  if (previous == 0 || statement.token != previous)
    return std::nullopt;
  return ShardStatement{ shard, token, statement.lateStartsUntil };
}

std::optional<ShardStatement>
ShardHandover::released(const PeerShardReleased& message, TimePoint now)
{
  expire(now);
  std::map<WorkerId, TimePoint> lateStartsUntil;
  for (const auto& [worker, remaining] : message.lateStarts)
    lateStartsUntil[worker] = now + remaining;
  const auto taken = m_taken.find(message.shard);
  if (taken == m_taken.end()) {
    if (m_received.size() < maxStatements)
      m_received[message.shard] = { message.token,
                                    std::move(lateStartsUntil),
                                    now };
    return std::nullopt;
  }
  const Taken& take = taken->second;
  if (take.previousToken == 0 || take.previousToken != message.token ||
      now - take.at > maxDelay)
    return std::nullopt;
  return ShardStatement{ message.shard,
                         take.token,
                         std::move(lateStartsUntil) };
}

void
ShardHandover::expire(TimePoint now)
{
  for (auto received = m_received.begin(); received != m_received.end();) {
    if (now - received->second.at > maxDelay)
      received = m_received.erase(received);
    else
      ++received;
  }
}

} // namespace cowslippin
