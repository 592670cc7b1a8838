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

/// Finds out whether any daemon still uses the workers of a shard whose
/// availability zone has no reachable daemon.
///
/// The probe handles the loss of a zone's only daemon. That daemon may be dead,
/// or only partitioned from the others while it goes on serving. A fixed wait
/// long enough for the second case would leave a third of all workers unused in
/// the first. The workers know: a holder acknowledges the end of a run within
/// milliseconds, so an end that a worker keeps listing has no daemon that waits
/// for it. Runs that a dead daemon left end with its lease at the latest, 0.8 s
/// after the last renewal. The workers are asked with the holder's own token,
/// which changes nothing on them.
class VacancyProbe
{
public:
  struct Settings
  {
    /// Time between the starts of two rounds.
    Duration interval = std::chrono::milliseconds(120);
    /// The same timeout as for any other report of a worker.
    Duration orderTimeout = std::chrono::milliseconds(90);
    /// Number of workers that are asked in a round.
    std::size_t workersPerRound = 8;
    /// Number of rounds in a row, after the one that first saw it, in which an
    /// end has to stay listed. Together they take a third of a second, in which
    /// a holder asks each worker more than once.
    unsigned requiredRounds = 3;
  };

  using Answer = std::function<void(const LeaseOrderAnswer&)>;
  using Hold = std::function<
    void(const WorkerRecord&, const LeaseOrder&, Duration timeout, Answer)>;

  VacancyProbe(Settings settings, Hold hold);

  /// Starts a round: asks some of the shard's workers. Does nothing while a
  /// round is in progress or if the last one has just started.
  void probe(const ShardId& shard,
             FencingToken token,
             const std::vector<WorkerRecord>& workers,
             TimePoint now);

  /// Whether the last rounds have shown that no daemon uses the shard's
  /// workers.
  bool isVacant(const ShardId& shard) const;

  /// Drops the results of all other shards.
  void dropOthers(const std::set<ShardId>& shards);

private:
  /// The first ended run that each worker lists, with the incarnation of the
  /// worker.
  using ReportedEnds =
    std::map<WorkerId, std::pair<WorkerBootTime, std::uint64_t>>;

  struct Round
  {
    std::size_t waiting = 0;
    bool isTokenRefused = false;
    ReportedEnds ends;
  };
  struct ShardState
  {
    std::shared_ptr<Round> round;
    TimePoint startedAt{};
    ReportedEnds ends;
    unsigned vacantRounds = 0;
  };

  void answered(const ShardId& shard,
                const WorkerId& worker,
                const std::shared_ptr<Round>& round,
                const LeaseOrderAnswer& answer);
  static void evaluateRound(ShardState& shardState);

  const Settings m_settings;
  const Hold m_hold;
  std::map<ShardId, ShardState> m_shardStates;
};

} // namespace cowslippin
