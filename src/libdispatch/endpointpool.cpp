#include "endpointpool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowslippin {

namespace {

constexpr std::int32_t unusable = std::numeric_limits<std::int32_t>::max();
/// Added to the cost of an endpoint's last free slots, which are lent only
/// against a backlog.
constexpr std::int32_t reserved = 1 << 29;
constexpr std::int32_t dearest = reserved - 1;
constexpr std::size_t fewestEndsToRefresh = 16;
constexpr int mostIntervalsToLending = 8;
/// Below this, differences of run time are taken for chance.
constexpr double slownessNoticed = 2.0;

std::int32_t
toCost(double microseconds)
{
  const double bounded = std::min(microseconds, static_cast<double>(dearest));
  return static_cast<std::int32_t>(bounded);
}

bool
contains(const std::vector<std::uint64_t>& serials, std::uint64_t serial)
{
  return std::find(serials.begin(), serials.end(), serial) != serials.end();
}

double
median(std::vector<double>& values)
{
  const auto middle =
    values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

} // namespace

EndpointPool::EndpointPool(const DispatchSettings& settings,
                           std::mt19937_64& random)
  : m_settings(settings)
  , m_random(random)
{
}

void
EndpointPool::rebuild(const std::vector<EndpointRecord*>& records,
                      const std::vector<std::size_t>& zones,
                      std::size_t ownZone)
{
  m_groups.clear();
  m_ejected.clear();
  m_size = records.size();
  m_lends = std::any_of(
    records.begin(), records.end(), [](const EndpointRecord* record) {
      return record->isLive() && record->dealt < record->endpoint.slots();
    });
  for (std::size_t i = 0; i < records.size(); ++i) {
    addMember(*records[i], zones[i], ownZone);
  }
  recountAll();
}

void
EndpointPool::addMember(EndpointRecord& record,
                        std::size_t zone,
                        std::size_t ownZone)
{
  Group& group = groupOfZone(zone, ownZone);
  record.group = static_cast<std::size_t>(&group - m_groups.data());
  record.member = group.members.size();
  group.members.push_back(&record);
  group.costs.push_back(unusable);
  if (record.health.isEjected()) {
    m_ejected.push_back(&record);
  }
}

EndpointPool::Group&
EndpointPool::groupOfZone(std::size_t zone, std::size_t ownZone)
{
  for (Group& group : m_groups) {
    if (group.zone == zone) {
      return group;
    }
  }
  Group group;
  group.zone = zone;
  if (zone != ownZone) {
    group.crossing =
      toCost(static_cast<double>(m_settings.crossingPenalty.count()));
  }
  m_groups.push_back(group);
  return m_groups.back();
}

void
EndpointPool::recount(Group& group)
{
  group.withRoom = 0;
  group.live = 0;
  group.healthy = 0;
  group.dealt = 0;
  group.slots = 0;
  for (EndpointRecord* record : group.members) {
    record->limit = limitOf(*record);
    const std::int32_t newCost = cost(*record);
    group.costs[record->member] = newCost;
    group.withRoom += newCost != unusable ? 1 : 0;
    group.live += record->isLive() ? 1 : 0;
    group.healthy += record->isHealthy() ? 1 : 0;
    group.dealt += record->isHealthy() ? record->dealt : 0;
    group.slots += record->isHealthy() ? record->limit : 0;
  }
}

void
EndpointPool::refresh()
{
  m_endsSinceRefresh = 0;
  m_scratch.clear();
  for (const Group& group : m_groups) {
    for (EndpointRecord* record : group.members) {
      record->health.forget();
      m_scratch.push_back(record->health.slowness());
    }
  }
  if (!m_scratch.empty()) {
    m_medianSlowness = std::max(median(m_scratch), 0.01);
  }
  recountAll();
}

void
EndpointPool::recountAll()
{
  for (Group& group : m_groups) {
    recount(group);
  }
}

void
EndpointPool::lendSilent(TimePoint now)
{
  if (!m_lends || now < m_nextLending) {
    return;
  }
  m_nextLending = now + m_settings.lendingInterval;
  for (const Group& group : m_groups) {
    for (EndpointRecord* record : group.members) {
      lendIfSilent(*record);
      updateCost(*record);
    }
  }
}

void
EndpointPool::lendIfSilent(EndpointRecord& record)
{
  if (record.reportedInInterval) {
    record.reportedInInterval = false;
    record.silentIntervals = 0;
    return;
  }
  ++record.silentIntervals;
  record.reserved = 0;
  // With an attempt there its reply will tell; else one has to ask.
  const bool mayAsk =
    record.inFlight == 0 && record.silentIntervals >= record.intervalsToLending;
  record.borrowable = mayAsk ? 1 : 0;
}

std::optional<TimePoint>
EndpointPool::nextLending() const
{
  return m_lends ? std::optional<TimePoint>(m_nextLending) : std::nullopt;
}

double
EndpointPool::relativeSlowness(const EndpointRecord& record) const
{
  const double relative = record.health.slowness() / m_medianSlowness;
  return relative > slownessNoticed ? relative : 1.0;
}

int
EndpointPool::limitOf(const EndpointRecord& record) const
{
  const double share = record.endpoint.slots() * m_settings.slotShare;
  const double slowness = relativeSlowness(record);
  const double allowed =
    slowness > m_settings.slowFactor ? share / slowness : share;
  const int slots = std::max(0, record.endpoint.slots());
  return std::clamp(
    static_cast<int>(std::floor(allowed)), std::min(1, slots), slots);
}

std::int32_t
EndpointPool::cost(const EndpointRecord& record) const
{
  if (!record.isHealthy() || record.inFlight >= record.limit) {
    return unusable;
  }
  const bool isBorrowed = record.inFlight >= record.dealt;
  if (isBorrowed && record.borrowable <= 0) {
    return unusable;
  }
  const double used = record.inFlight + record.othersInUse;
  const double load = used / record.endpoint.slots();
  const double runTime = static_cast<double>(m_typicalRunTime.count());
  const double queueing =
    used >= record.endpoint.slots()
      ? static_cast<double>(m_settings.fullPenalty.count())
      : 0.0;
  const double ownCost =
    queueing + runTime * relativeSlowness(record) * (1.0 + load);
  if (!isBorrowed) {
    return toCost(ownCost);
  }
  const std::int32_t borrowedCost =
    toCost(static_cast<double>(m_settings.borrowingPenalty.count()) + ownCost);
  const bool isReserved = record.borrowable <= record.reserved;
  return isReserved ? reserved + borrowedCost : borrowedCost;
}

void
EndpointPool::updateCost(EndpointRecord& record)
{
  if (record.group >= m_groups.size()) {
    return;
  }
  Group& group = m_groups[record.group];
  if (record.member >= group.members.size() ||
      group.members[record.member] != &record) {
    return;
  }
  std::int32_t& stored = group.costs[record.member];
  const std::int32_t newCost = cost(record);
  group.withRoom +=
    (newCost != unusable ? 1 : 0) - (stored != unusable ? 1 : 0);
  stored = newCost;
}

EndpointRecord*
EndpointPool::choose(const Request& request, TimePoint now)
{
  if (!m_ejected.empty()) {
    EndpointRecord* probe = dueProbe(request, now);
    if (probe != nullptr) {
      return probe;
    }
  }
  if (!request.tried.empty()) {
    return chooseUntried(request);
  }
  if (m_settings.choice == EndpointChoice::TwoChoices) {
    EndpointRecord* chosen = chooseOfTwo(request);
    if (chosen != nullptr) {
      return chosen;
    }
  }
  return chooseCheapest(request);
}

EndpointRecord*
EndpointPool::dueProbe(const Request& request, TimePoint now) const
{
  const bool hasChoice = healthyIn(request.zones) > 0;
  const bool waitsForRepeatable = hasChoice && !request.repeatable;
  const Duration extraWait = waitsForRepeatable
                               ? m_settings.ejection.waitForRepeatableProbe
                               : Duration::zero();
  for (EndpointRecord* record : m_ejected) {
    const bool isDue = record->isLive() && !record->health.isProbing() &&
                       record->health.probeAt() + extraWait <= now &&
                       record->inFlight < record->limit;
    const bool isTried = hasChoice && contains(request.tried, record->serial);
    if (isDue && !isTried && request.zones.test(m_groups[record->group].zone)) {
      return record;
    }
  }
  return nullptr;
}

EndpointRecord*
EndpointPool::chooseCheapest(const Request& request)
{
  const Group* bestGroup = nullptr;
  std::int32_t best = unusable;
  std::int32_t bestInGroup = unusable;
  for (const Group& group : m_groups) {
    if (group.withRoom == 0 || !request.zones.test(group.zone)) {
      continue;
    }
    std::int32_t lowest = unusable;
    for (const std::int32_t value : group.costs) {
      lowest = std::min(lowest, value);
    }
    const bool isAllowed = lowest < reserved || request.hasBacklog;
    if (lowest != unusable && isAllowed && lowest + group.crossing < best) {
      best = lowest + group.crossing;
      bestInGroup = lowest;
      bestGroup = &group;
    }
  }
  if (bestGroup == nullptr) {
    return nullptr;
  }
  // Among equals a random one, or all daemons would pick the same.
  const std::vector<std::int32_t>& costs = bestGroup->costs;
  const auto from =
    costs.begin() + static_cast<std::ptrdiff_t>(m_random() % costs.size());
  auto found = std::find(from, costs.end(), bestInGroup);
  if (found == costs.end()) {
    found = std::find(costs.begin(), from, bestInGroup);
  }
  return bestGroup->members[static_cast<std::size_t>(found - costs.begin())];
}

EndpointRecord*
EndpointPool::chooseOfTwo(const Request& request)
{
  constexpr int mostDraws = 6;
  const Group* chosen = nullptr;
  // Among zones equally near a random one.
  const std::size_t from = m_groups.empty() ? 0 : m_random() % m_groups.size();
  for (std::size_t i = 0; i < m_groups.size(); ++i) {
    const Group& group = m_groups[(from + i) % m_groups.size()];
    const bool isNearer =
      chosen == nullptr || group.crossing < chosen->crossing;
    if (group.withRoom > 0 && request.zones.test(group.zone) && isNearer) {
      chosen = &group;
    }
  }
  if (chosen == nullptr) {
    return nullptr;
  }
  std::size_t best = chosen->costs.size();
  int drawn = 0;
  for (int draw = 0; draw < mostDraws && drawn < 2; ++draw) {
    const std::size_t candidate = m_random() % chosen->costs.size();
    const std::int32_t value = chosen->costs[candidate];
    if (value == unusable || (value >= reserved && !request.hasBacklog)) {
      continue;
    }
    ++drawn;
    if (best == chosen->costs.size() || value < chosen->costs[best]) {
      best = candidate;
    }
  }
  return best == chosen->costs.size() ? nullptr : chosen->members[best];
}

EndpointRecord*
EndpointPool::chooseUntried(const Request& request) const
{
  EndpointRecord* untried = nullptr;
  EndpointRecord* any = nullptr;
  std::int32_t untriedCost = unusable;
  std::int32_t anyCost = unusable;
  bool othersExist = false;
  for (const Group& group : m_groups) {
    if (!request.zones.test(group.zone)) {
      continue;
    }
    for (EndpointRecord* record : group.members) {
      const std::int32_t memberCost = group.costs[record->member];
      const std::int32_t total =
        memberCost == unusable ? unusable : memberCost + group.crossing;
      if (total < anyCost) {
        anyCost = total;
        any = record;
      }
      if (contains(request.tried, record->serial)) {
        continue;
      }
      othersExist = othersExist || record->isHealthy();
      if (total < untriedCost) {
        untriedCost = total;
        untried = record;
      }
    }
  }
  return othersExist ? untried : any;
}

void
EndpointPool::started(EndpointRecord& record, bool probe)
{
  if (record.inFlight >= record.dealt) {
    --record.borrowable;
  }
  ++record.inFlight;
  if (probe) {
    record.health.probeStarted();
  }
  updateCost(record);
}

void
EndpointPool::ended(EndpointRecord& record,
                    bool probe,
                    const AttemptReport& report,
                    double relativeTime,
                    TimePoint now)
{
  const bool answered = report.end == AttemptEnd::Answered;
  const TimePoint startedAt = now - report.runTime;
  --record.inFlight;
  recordReport(record, answered, report.slotsFree);
  if (!probe && report.isConnectionSilent &&
      record.health.forgivesSilence(startedAt, now)) {
    updateCost(record);
    return;
  }
  m_recentEnds.record(record.serial, !answered);
  if (answered) {
    record.health.answeredSilence(startedAt);
    record.health.answered(relativeTime);
  } else {
    record.health.failed(relativeTime);
  }
  if (probe && record.health.isEjected()) {
    record.health.probeEnded(answered, m_settings.ejection, now);
    if (!record.health.isEjected()) {
      m_ejected.erase(std::remove(m_ejected.begin(), m_ejected.end(), &record),
                      m_ejected.end());
      recountAll();
    }
  } else if (!answered && record.isHealthy() && mayEjectOneMore() &&
             isWorseThanOthers(record)) {
    setEjected(record, now);
  }
  updateCost(record);
  if (++m_endsSinceRefresh >= std::max(m_size, fewestEndsToRefresh)) {
    refresh();
  }
}

void
EndpointPool::recordReport(EndpointRecord& record,
                           bool answered,
                           std::optional<int> slotsFree)
{
  record.reportedInInterval = true;
  record.borrowable = answered ? 1 : 0;
  record.reserved = 0;
  if (slotsFree) {
    const int inUse = record.endpoint.slots() - *slotsFree;
    record.othersInUse = std::max(0, inUse - record.inFlight);
    record.borrowable = answered ? std::max(0, *slotsFree) : 0;
    record.reserved = m_settings.lendingReserve;
    record.intervalsToLending =
      record.borrowable > 0
        ? 1
        : std::min(2 * record.intervalsToLending, mostIntervalsToLending);
  }
}

bool
EndpointPool::isWorseThanOthers(const EndpointRecord& record) const
{
  return record.health.isSuspect(
    m_settings.ejection, m_recentEnds.failureRatioOfOthers(record.serial));
}

bool
EndpointPool::mayEjectOneMore() const
{
  const double most =
    m_settings.ejection.maxShare * static_cast<double>(m_size);
  return static_cast<double>(m_ejected.size() + 1) <= most;
}

void
EndpointPool::setEjected(EndpointRecord& record, TimePoint now)
{
  record.health.eject(m_settings.ejection, now);
  m_ejected.push_back(&record);
  recountAll();
}

int
EndpointPool::listedIn(const ZoneSet& zones) const
{
  int count = 0;
  for (const Group& group : m_groups) {
    if (zones.test(group.zone)) {
      count += static_cast<int>(group.members.size());
    }
  }
  return count;
}

int
EndpointPool::liveIn(const ZoneSet& zones) const
{
  int count = 0;
  for (const Group& group : m_groups) {
    if (zones.test(group.zone)) {
      count += group.live;
    }
  }
  return count;
}

int
EndpointPool::healthyIn(const ZoneSet& zones) const
{
  int count = 0;
  for (const Group& group : m_groups) {
    if (zones.test(group.zone)) {
      count += group.healthy;
    }
  }
  return count;
}

bool
EndpointPool::hasRoom(const ZoneSet& zones) const
{
  for (const Group& group : m_groups) {
    if (group.withRoom > 0 && zones.test(group.zone)) {
      return true;
    }
  }
  return false;
}

int
EndpointPool::dealtIn(const ZoneSet& zones) const
{
  int count = 0;
  for (const Group& group : m_groups) {
    if (zones.test(group.zone)) {
      count += group.dealt;
    }
  }
  return count;
}

int
EndpointPool::slotsIn(const ZoneSet& zones) const
{
  int count = 0;
  for (const Group& group : m_groups) {
    if (zones.test(group.zone)) {
      count += group.slots;
    }
  }
  return count;
}

std::optional<TimePoint>
EndpointPool::nextProbe(const ZoneSet& zones) const
{
  std::optional<TimePoint> next;
  for (const EndpointRecord* record : m_ejected) {
    const bool isWaiting = record->isLive() && !record->health.isProbing() &&
                           zones.test(m_groups[record->group].zone);
    if (isWaiting && (!next || record->health.probeAt() < *next)) {
      next = record->health.probeAt();
    }
  }
  return next;
}

} // namespace cowslippin
