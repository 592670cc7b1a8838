#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/shardid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cowslippin {

/// The previous holder's statement about late starts on a shard's workers.
struct ShardStatement
{
  ShardId shard;
  /// The fencing token with which this daemon has taken the shard.
  std::uint64_t takenWith = 0;
  /// Until when late starts of earlier holders may be carried out, by worker.
  /// Workers that aren't listed are unknown.
  std::map<WorkerId, TimePoint> lateStartsUntil;

  std::size_t workersWithLateStarts(TimePoint now) const;
};

/// Matches the shards that this daemon takes with what their last holders tell
/// when they release them. For 12 s after a claim, a start of an earlier holder
/// may still reach a restarted worker, so that each start of the new holder
/// needs a report right before it. A daemon short of processor time starts few
/// tasks then. With the statement of the last holder, that is only needed where
/// that holder has starts without an answer. Does no I/O and reads no clock.
///
/// A statement counts only shortly before or after the shard is taken, and only
/// if no other daemon than its sender may have started anything on the workers
/// meanwhile. Each sign of another holder voids it: a report of the shard with
/// another token, except by the successor of the last holder, and a report of a
/// shard of another division of the zone, which may have the same workers.
class ShardHandover
{
public:
  /// Time between the statement and the taking of a shard, in any order, above
  /// which the statement doesn't count. A holder releases its shard a round
  /// trip after another has taken it.
  static constexpr Duration maxDelay = std::chrono::seconds(1);
  /// How long a sign of another holder counts: as long as its starts may be
  /// carried out late.
  static constexpr Duration contestTime = std::chrono::seconds(12);
  /// Statements on more shards than this are ignored.
  static constexpr std::size_t maxStatements = 256;

  /// How often this daemon has taken a shard, and how often it could use the
  /// statement of the last holder.
  struct Counts
  {
    std::uint64_t taken = 0;
    std::uint64_t handedOver = 0;
  };

  /// Records that another daemon holds the shard with this token. Returns the
  /// shards held here on whose workers that daemon may have started something,
  /// so that an earlier statement doesn't count any more.
  std::vector<ShardId> holderReported(const ShardId& shard,
                                      std::uint64_t token,
                                      TimePoint now);

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

  const Counts& counts() const { return m_counts; }

private:
  /// What is known of the last holder of a shard.
  struct Holder
  {
    std::uint64_t token = 0;
    /// Until then, others may have starts in transit.
    TimePoint contestedUntil{};
  };
  struct Taken
  {
    std::uint64_t token = 0;
    /// The token of the last holder; 0 if it isn't known which that is.
    std::uint64_t previousToken = 0;
    TimePoint at{};
  };
  struct Received
  {
    std::uint64_t token = 0;
    std::map<WorkerId, TimePoint> lateStartsUntil;
    TimePoint at{};
  };
  /// The number of shards into which a zone's workers are divided.
  struct Division
  {
    unsigned count = 0;
    TimePoint contestedUntil{};
  };

  bool isContested(const ShardId& shard, TimePoint now) const;
  bool changesDivision(const ShardId& shard, TimePoint now);
  std::vector<ShardId> takenIn(const ZoneName& zone) const;
  void expire(TimePoint now);

  std::map<ShardId, Holder> m_holders;
  std::map<ZoneName, Division> m_divisions;
  std::map<ShardId, Taken> m_taken;
  std::map<ShardId, Received> m_received;
  Counts m_counts;
};

} // namespace cowslippin
