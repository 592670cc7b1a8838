#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/shardid.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cowslippin {

/// What the holder before this daemon has told of a shard's workers.
struct ShardStatement
{
  ShardId shard;
  /// The fencing token with which this daemon has taken the shard.
  std::uint64_t takenWith = 0;
  /// Until when late starts of earlier holders may be carried out, by worker.
  /// Workers that aren't listed are unknown.
  std::map<WorkerId, TimePoint> lateStartsUntil;
};

/// Matches the shards that this daemon takes with what their last holders tell
/// when they release them. For 12 s after a claim, a start of an earlier holder
/// may still reach a restarted worker, so that each start of the new holder
/// needs a report right before it. A daemon short of processor time starts few
/// tasks then. With the statement of the last holder, that is only needed where
/// that holder has starts without an answer. Does no I/O and reads no clock.
///
/// A statement counts only if its token is the highest that was known of any
/// holder when the shard was taken, and only shortly before or after that:
/// otherwise, another daemon may have held the shard in between.
class ShardHandover
{
public:
  /// Time between the statement and the taking of a shard, in any order, above
  /// which the statement doesn't count. A holder releases its shard a round
  /// trip after another has taken it.
  static constexpr Duration maxDelay = std::chrono::seconds(1);
  /// Statements on more shards than this are ignored.
  static constexpr std::size_t maxStatements = 256;

  /// Records that another daemon holds the shard with this token. Returns
  /// whether it has held the shard between the last known holder and this
  /// daemon, so that a statement of that holder doesn't count any more.
  bool holderReported(const ShardId& shard, std::uint64_t token);

  /// Records that this daemon has taken the shard. Returns the statement of the
  /// last holder if it has arrived before.
  std::optional<ShardStatement> shardTaken(const ShardId& shard,
                                           std::uint64_t token,
                                           TimePoint now);
  /// Records that this daemon no longer holds the shard.
  void shardReleased(const ShardId& shard) { m_taken.erase(shard); }

  /// Records what a holder tells. Returns the statement if this daemon has
  /// taken the shard from that holder.
  std::optional<ShardStatement> released(const PeerShardReleased& message,
                                         TimePoint now);

private:
  struct Taken
  {
    std::uint64_t token = 0;
    /// The highest token of an earlier holder that was known then; 0 if none.
    std::uint64_t previousToken = 0;
    TimePoint at{};
  };
  struct Received
  {
    std::uint64_t token = 0;
    std::map<WorkerId, TimePoint> lateStartsUntil;
    TimePoint at{};
  };

  void expire(TimePoint now);

  std::map<ShardId, std::uint64_t> m_highestTokens;
  std::map<ShardId, Taken> m_taken;
  std::map<ShardId, Received> m_received;
};

} // namespace cowslippin
