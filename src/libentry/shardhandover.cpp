#include "shardhandover.h"

#include <algorithm>

namespace cowslippin {

std::size_t
ShardStatement::workersWithLateStarts(TimePoint now) const
{
  return static_cast<std::size_t>(std::count_if(
    lateStartsUntil.begin(), lateStartsUntil.end(), [&](const auto& worker) {
      return worker.second > now;
    }));
}

std::vector<ShardId>
ShardHandover::holderReported(const ShardId& shard,
                              std::uint64_t token,
                              TimePoint now)
{
  const bool isOtherDivision = changesDivision(shard, now);
  Holder& holder = m_holders[shard];
  const auto taken = m_taken.find(shard);
  const bool isTaken = taken != m_taken.end();
  if (token != holder.token &&
      (isTaken ? token != taken->second.previousToken : token < holder.token)) {
    holder.contestedUntil = now + contestTime;
    if (isTaken && !isOtherDivision)
      return { shard };
  }
  if (!isTaken)
    holder.token = std::max(holder.token, token);
  return isOtherDivision ? takenIn(shard.zone()) : std::vector<ShardId>();
}

std::optional<ShardStatement>
ShardHandover::shardTaken(const ShardId& shard,
                          std::uint64_t token,
                          TimePoint now)
{
  expire(now);
  changesDivision(shard, now);
  Holder& holder = m_holders[shard];
  const std::uint64_t previous = isContested(shard, now) ? 0 : holder.token;
  m_taken[shard] = { token, previous, now };
  ++m_counts.taken;
  holder.token = token;
  const auto received = m_received.find(shard);
  if (received == m_received.end())
    return std::nullopt;
  const Received statement = std::move(received->second);
  m_received.erase(received);
  if (previous == 0 || statement.token != previous)
    return std::nullopt;
  ++m_counts.handedOver;
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
      now - take.at > maxDelay || isContested(message.shard, now))
    return std::nullopt;
  ++m_counts.handedOver;
  return ShardStatement{ message.shard,
                         take.token,
                         std::move(lateStartsUntil) };
}

bool
ShardHandover::isContested(const ShardId& shard, TimePoint now) const
{
  const auto holder = m_holders.find(shard);
  const auto division = m_divisions.find(shard.zone());
  return (holder != m_holders.end() && now < holder->second.contestedUntil) ||
         (division != m_divisions.end() &&
          now < division->second.contestedUntil);
}

/// Records the division of the zone that the shard belongs to. Returns whether
/// it differs from the one that was seen last.
bool
ShardHandover::changesDivision(const ShardId& shard, TimePoint now)
{
  Division& division = m_divisions[shard.zone()];
  if (division.count == shard.count())
    return false;
  if (division.count != 0)
    division.contestedUntil = now + contestTime;
  division.count = shard.count();
  return now < division.contestedUntil;
}

std::vector<ShardId>
ShardHandover::takenIn(const ZoneName& zone) const
{
  std::vector<ShardId> shards;
  for (const auto& [shard, taken] : m_taken) {
    if (shard.zone() == zone)
      shards.push_back(shard);
  }
  return shards;
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
