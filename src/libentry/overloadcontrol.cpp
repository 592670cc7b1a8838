#include "overloadcontrol.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

/// Fractions of multiples of the golden ratio are spread evenly over 0 to 1,
/// however many there are.
constexpr double goldenRatioFraction = 0.6180339887498949;

double
seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

OverloadControl::Change
OverloadControl::tick(Duration lag, TimePoint now)
{
  const bool wasActive = isActive();
  if (lag <= 2 * m_settings.share.maxLag)
    m_farOverSince.reset();
  else if (!m_farOverSince)
    m_farOverSince = now;
  m_share.tick(lag, now);
  if (isActive())
    divideShare(now);
  if (isActive() == wasActive)
    return Change::None;
  return isActive() ? Change::Began : Change::Ended;
}

void
OverloadControl::reset()
{
  m_share.reset();
  m_farOverSince.reset();
}

bool
OverloadControl::closesConnections(TimePoint now) const
{
  return m_farOverSince && now - *m_farOverSince >= m_settings.closeAfter;
}

bool
OverloadControl::admit(const std::string& name, TimePoint now)
{
  Queue& queue = m_queues[name];
  queue.arrivals = arrivals(queue, now) + 1;
  queue.lastArrivalAt = now;
  // The value of a queue is learned from its admitted jobs.
  if (!isActive() || !queue.isKnown)
    return true;
  queue.remainder += queue.share;
  if (queue.remainder < 1)
    return false;
  queue.remainder -= 1;
  return true;
}

void
OverloadControl::jobDecoded(const std::string& name,
                            unsigned urgency,
                            const TaskNeeds& needs,
                            unsigned tasks)
{
  const double work = double(tasks) * double(needs.resources.cpuMillis()) *
                      seconds(needs.estimate);
  const double value = (1 + double(urgency)) * work;
  const double cost =
    m_settings.jobCostMs + m_settings.taskCostMs * double(tasks);
  Queue& queue = m_queues[name];
  const double weight = queue.isKnown ? m_settings.newestJobWeight : 1;
  queue.isKnown = true;
  queue.value += (value - queue.value) * weight;
  queue.cost += (cost - queue.cost) * weight;
}

bool
OverloadControl::isTooLate(const QueuePolicy& policy,
                           const TaskNeeds& needs,
                           Duration readDelay) const
{
  const double ideal = double(needs.estimate.count()) * policy.stretch +
                       double(policy.target.count());
  return isActive() && ideal > 0 &&
         double((readDelay + needs.estimate).count()) >
           ideal * m_settings.worthlessFactor;
}

Duration
OverloadControl::retryAfter()
{
  const Duration expected =
    std::max(m_share.timeToFull(), m_settings.minRetryAfter);
  m_spread += goldenRatioFraction;
  m_spread -= std::floor(m_spread);
  return Duration(
    static_cast<Duration::rep>(double(expected.count()) * (0.5 + m_spread)));
}

double
OverloadControl::share(const std::string& name) const
{
  const auto queue = m_queues.find(name);
  return isActive() && queue != m_queues.end() ? queue->second.share : 1;
}

/// Divides the admitted work among the queues: each gets the minimum, and the
/// rest goes to the queues of the highest value per processor time.
void
OverloadControl::divideShare(TimePoint now)
{
  const double minShare = m_settings.share.minShare;
  std::vector<Queue*> byValue;
  double arriving = 0;
  for (auto& [name, queue] : m_queues) {
    byValue.push_back(&queue);
    arriving += arrivingCost(queue, now);
  }
  std::stable_sort(byValue.begin(), byValue.end(), [](auto* a, auto* b) {
    return a->density() > b->density();
  });
  double rest = (m_share.value() - minShare) * arriving;
  for (auto first = byValue.begin(); first != byValue.end();) {
    const double least = (*first)->density() / m_settings.equalValueFactor;
    const auto last = std::find_if(first, byValue.end(), [&](auto* queue) {
      return queue->density() < least;
    });
    double cost = 0;
    for (auto queue = first; queue != last; ++queue)
      cost += arrivingCost(**queue, now);
    const double wanted = cost * (1 - minShare);
    const double given = std::min(wanted, std::max(rest, 0.0));
    rest -= given;
    for (; first != last; ++first)
      (*first)->share = cost > 0 ? minShare + given / cost : m_share.value();
  }
}

double
OverloadControl::arrivingCost(const Queue& queue, TimePoint now) const
{
  return arrivals(queue, now) * queue.cost;
}

double
OverloadControl::arrivals(const Queue& queue, TimePoint now) const
{
  return queue.arrivals * std::exp(-seconds(now - queue.lastArrivalAt) /
                                   seconds(m_settings.arrivalTime));
}

} // namespace cowslippin
