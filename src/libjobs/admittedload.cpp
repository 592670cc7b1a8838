#include "admittedload.h"

#include <cmath>

namespace cowslippin {

namespace {

/// Weight of the newest job in the mean of a queue's slacks.
constexpr double slackWeight = 0.1;

} // namespace

void
AdmittedLoad::add(const ShardId& shard,
                  const std::string& queue,
                  Duration slack,
                  double work,
                  TimePoint now)
{
  Rate& rate = m_rates[{ shard, queue }];
  const auto value = double(slack.count());
  rate.slack = rate.work == 0
                 ? value
                 : rate.slack * (1 - slackWeight) + value * slackWeight;
  rate.work = decayed(rate, now) + work;
  rate.at = now;
}

double
AdmittedLoad::loadBefore(const ShardId& shard,
                         Duration slack,
                         TimePoint now) const
{
  double work = 0;
  for (const auto& [key, rate] : m_rates) {
    if (key.first == shard && rate.slack < double(slack.count()))
      work += decayed(rate, now);
  }
  return work / double(m_settings.window.count());
}

double
AdmittedLoad::decayed(const Rate& rate, TimePoint now) const
{
  const double age = double((now - rate.at).count());
  return rate.work * std::exp(-age / double(m_settings.window.count()));
}

} // namespace cowslippin
