#pragma once

#include "libcore/core.h"
#include "libcore/shardid.h"
#include "libworkers/workers.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace cowslippin {

/// Finds out whether anybody still uses the workers of a shard whose
/// availability zone has no daemon that can be heard.
///
/// It answers the loss of a zone's only daemon. The daemon may be dead, or only
/// cut off from the others while it goes on serving; a fixed wait long enough
/// for the second case leaves a third of all workers unused in the first. The
/// workers know: a holder takes note of a run's end within milliseconds, so
/// that an end that stays listed has nobody who waits for it. What a dead
/// daemon left behind ends with its lease at the latest, 0.8 s after the last
/// renewal. They are asked with the holder's own token, which changes nothing.
class VacancyProbe
{
public:
  struct Settings
  {
    /// Between the starts of two rounds.
    Duration interval = std::chrono::milliseconds(120);
    /// As for any other report.
    Duration orderTimeout = std::chrono::milliseconds(90);
    /// How many workers are asked in a round.
    std::size_t workers = 8;
    /// Rounds in a row, after the first that has seen it, in which an end stays
    /// listed: together a third of a second, in which a holder asks each worker
    /// more than once.
    unsigned rounds = 3;
  };

  using Answer = std::function<void(const HoldAnswer&)>;
  using Hold = std::function<
    void(const WorkerRecord&, const HoldOrder&, Duration timeout, Answer)>;

  VacancyProbe(Settings settings, Hold hold);

  /// Asks some of the shard's workers, unless they were asked just before.
  void probe(const ShardId& shard,
             FencingToken token,
             const std::vector<WorkerRecord>& workers,
             TimePoint now);

  /// Whether the last rounds have shown that nobody uses the shard's workers.
  bool isVacant(const ShardId& shard) const;

  /// Forgets what was found of other shards.
  void keepOnly(const std::set<ShardId>& shards);

private:
  /// The first end that each worker lists, and in which of its lives.
  using Ends = std::map<WorkerId, std::pair<WorkerBirth, std::uint64_t>>;

  struct Round
  {
    std::size_t waiting = 0;
    bool isTaken = false;
    Ends ends;
  };
  struct Finding
  {
    std::shared_ptr<Round> round;
    TimePoint startedAt{};
    Ends ends;
    unsigned vacantRounds = 0;
  };

  void answered(const ShardId& shard,
                const WorkerId& worker,
                const std::shared_ptr<Round>& round,
                const HoldAnswer& answer);
  static void conclude(Finding& finding);

  const Settings m_settings;
  const Hold m_hold;
  std::map<ShardId, Finding> m_findings;
};

} // namespace cowslippin
