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
  Finding& finding = m_findings[shard];
  const bool isUnderWay = finding.round && finding.round->waiting > 0;
  if (isUnderWay || now - finding.startedAt < m_settings.interval)
    return;
  const auto round = std::make_shared<Round>();
  round->waiting = std::min(workers.size(), m_settings.workers);
  finding.round = round;
  finding.startedAt = now;
  HoldOrder order;
  order.token = token;
  for (std::size_t i = 0; i < round->waiting; ++i)
    m_hold(
      workers[i],
      order,
      m_settings.orderTimeout,
      [this, shard, round, worker = workers[i].id()](const HoldAnswer& answer) {
        answered(shard, worker, round, answer);
      });
}

bool
VacancyProbe::isVacant(const ShardId& shard) const
{
  const auto found = m_findings.find(shard);
  return found != m_findings.end() &&
         found->second.vacantRounds >= m_settings.rounds;
}

void
VacancyProbe::keepOnly(const std::set<ShardId>& shards)
{
  for (auto finding = m_findings.begin(); finding != m_findings.end();) {
    if (shards.count(finding->first) == 0)
      finding = m_findings.erase(finding);
    else
      ++finding;
  }
}

/// Records the answer of a worker. One that can't be reached counts for
/// nothing; one that refuses the token has been leased by another daemon.
void
VacancyProbe::answered(const ShardId& shard,
                       const WorkerId& worker,
                       const std::shared_ptr<Round>& round,
                       const HoldAnswer& answer)
{
  --round->waiting;
  const auto* report = std::get_if<HoldReport>(&answer);
  if (report && !report->ended.empty())
    round->ends[worker] = { report->birth, report->ended.front().number };
  const auto* failure = std::get_if<OrderFailure>(&answer);
  round->isTaken =
    round->isTaken || (failure && *failure == OrderFailure::Fenced);
  const auto found = m_findings.find(shard);
  if (round->waiting == 0 && found != m_findings.end() &&
      found->second.round == round)
    conclude(found->second);
}

void
VacancyProbe::conclude(Finding& finding)
{
  const Round& round = *finding.round;
  const bool isLeft =
    std::any_of(round.ends.begin(), round.ends.end(), [&](const auto& end) {
      const auto before = finding.ends.find(end.first);
      return before != finding.ends.end() && before->second == end.second;
    });
  finding.vacantRounds =
    isLeft && !round.isTaken ? finding.vacantRounds + 1 : 0;
  finding.ends = round.ends;
}

} // namespace cowslippin
