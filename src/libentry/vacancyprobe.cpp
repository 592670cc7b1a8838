#include "vacancyprobe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

VacancyProbe::VacancyProbe(Settings settings, Hold hold)
  : m_settings(settings)
  , m_hold(std::move(hold))
{
}

void
VacancyProbe::probe(const ShardId& shard,
                    FencingToken token,
                    const std::vector<WorkerRecord>& workers,
                    TimePoint now)
{
  ShardState& shardState = m_shardStates[shard];
  const bool isRoundInProgress =
    shardState.round && shardState.round->waiting > 0;
  if (isRoundInProgress || now - shardState.startedAt < m_settings.interval)
    return;
  const auto round = std::make_shared<Round>();
  round->waiting = std::min(workers.size(), m_settings.workersPerRound);
  shardState.round = round;
  shardState.startedAt = now;
  LeaseOrder order;
  order.token = token;
  for (std::size_t i = 0; i < round->waiting; ++i)
    m_hold(workers[i],
           order,
           m_settings.orderTimeout,
           [this, shard, round, worker = workers[i].id()](
             const LeaseOrderAnswer& answer) {
             answered(shard, worker, round, answer);
           });
}

bool
VacancyProbe::isVacant(const ShardId& shard) const
{
  const auto found = m_shardStates.find(shard);
  return found != m_shardStates.end() &&
         found->second.vacantRounds >= m_settings.requiredRounds;
}

void
VacancyProbe::dropOthers(const std::set<ShardId>& shards)
{
  for (auto shardState = m_shardStates.begin();
       shardState != m_shardStates.end();) {
    if (shards.count(shardState->first) == 0)
      shardState = m_shardStates.erase(shardState);
    else
      ++shardState;
  }
}

/// Records the answer of a worker. One that can't be reached counts for
/// nothing; one that refuses the token has been leased by another daemon.
void
VacancyProbe::answered(const ShardId& shard,
                       const WorkerId& worker,
                       const std::shared_ptr<Round>& round,
                       const LeaseOrderAnswer& answer)
{
  --round->waiting;
  const auto* report = std::get_if<WorkerReport>(&answer);
  if (report && !report->ended.empty())
    round->ends[worker] = { report->bootTime, report->ended.front().sequence };
  const auto* failure = std::get_if<OrderFailure>(&answer);
  round->isTokenRefused =
    round->isTokenRefused || (failure && *failure == OrderFailure::Fenced);
  const auto found = m_shardStates.find(shard);
  if (round->waiting == 0 && found != m_shardStates.end() &&
      found->second.round == round)
    evaluateRound(found->second);
}

void
VacancyProbe::evaluateRound(ShardState& shardState)
{
  const Round& round = *shardState.round;
  const bool hasUnacknowledgedEnd =
    std::any_of(round.ends.begin(), round.ends.end(), [&](const auto& end) {
      const auto before = shardState.ends.find(end.first);
      return before != shardState.ends.end() && before->second == end.second;
    });
  shardState.vacantRounds = hasUnacknowledgedEnd && !round.isTokenRefused
                              ? shardState.vacantRounds + 1
                              : 0;
  shardState.ends = round.ends;
}

} // namespace cowslippin
