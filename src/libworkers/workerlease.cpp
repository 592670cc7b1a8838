#include "workerlease.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace cowslippin {

namespace {

bool
tellsOfAnotherLife(const HoldAnswer& answer)
{
  const auto* failure = std::get_if<OrderFailure>(&answer);
  return failure != nullptr && *failure == OrderFailure::OtherLife;
}

} // namespace

const char*
toString(LeaseState state)
{
  switch (state) {
    case LeaseState::Claiming:
      return "claiming";
    case LeaseState::Held:
      return "held";
    case LeaseState::Silent:
      return "silent";
    case LeaseState::Fenced:
      return "fenced";
    case LeaseState::Restarted:
      return "restarted";
    case LeaseState::Ended:
      return "ended";
  }
  return "unknown";
}

WorkerLease::WorkerLease(WorkerRecord record,
                         Settings settings,
                         Hooks hooks,
                         std::shared_ptr<AnswerTimes> times,
                         TimePoint now)
  : m_record(std::move(record))
  , m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_times(std::move(times))
  , m_life(m_record.birth(), now)
{
}

void
WorkerLease::setRecord(const WorkerRecord& record, TimePoint now)
{
  const WorkerLife life = m_life.seenInList(record.birth(), now);
  if (life == WorkerLife::Earlier)
    return;
  m_record = record;
  if (life == WorkerLife::Next)
    beginNextLife(now);
}

void
WorkerLease::claim(FencingToken token, TimePoint now)
{
  // A worker that has only started again has had no other holder since.
  if (m_state != LeaseState::Restarted)
    m_unknownStartsUntil = now + m_settings.lateOrderLimit;
  m_token = token;
  m_unanswered = 0;
  m_holdsUnderWay = 0;
  setState(LeaseState::Claiming);
  m_nextHoldAt = now;
  sendHold(Duration::zero(), now);
}

void
WorkerLease::start(const RunKey& key,
                   const Resources& resources,
                   const std::string& spec,
                   TimePoint now)
{
  Run run;
  run.resources = resources;
  run.spec = spec;
  m_used = m_used + resources;
  sendStart(key, m_runs.emplace(key, run).first->second, now);
}

/// Sends a start. One that is sent only because a report has just arrived is
/// followed by the request for another: if the worker has restarted in between,
/// its new life is claimed, and late starts are fenced, a round trip later.
void
WorkerLease::sendStart(const RunKey& key, Run& run, TimePoint now)
{
  run.token = m_token;
  run.since = now;
  run.startDeadlineMs = deadline(leaseEnd(now));
  ++run.startsSent;
  run.isResendDue = false;
  const StartOrder order{ m_token, key, run.spec, run.startDeadlineMs };
  if (m_life.isBirthKnown())
    m_unansweredStarts.add(key, run.resources, now + m_settings.lateOrderLimit);
  m_hooks.sendStart(order, m_times->answerWait());
  if (mayOverfillNextLife())
    refresh(now);
}

void
WorkerLease::stop(const RunKey& key, TimePoint now)
{
  const auto found = m_runs.find(key);
  if (found == m_runs.end() || found->second.state == RunState::Stopping)
    return;
  found->second.state = RunState::Stopping;
  sendStop(key, found->second, now);
}

std::optional<RunKey>
WorkerLease::adopt(const std::string& task, const Resources& resources)
{
  for (auto& [key, run] : m_runs) {
    if (!run.isStray || run.state == RunState::Stopping || key.task() != task)
      continue;
    run.isStray = false;
    run.resources = resources;
    m_used = m_used + resources;
    --m_strays;
    return key;
  }
  return std::nullopt;
}

void
WorkerLease::holdAnswered(const SentHold& sent,
                          const HoldAnswer& answer,
                          TimePoint now)
{
  if (sent.token != m_token && !tellsOfAnotherLife(answer))
    return;
  if (m_holdsUnderWay > 0)
    --m_holdsUnderWay;
  if (const auto* failure = std::get_if<OrderFailure>(&answer)) {
    holdFailed(*failure, now);
    return;
  }
  applyReport(std::get<HoldReport>(answer), sent.at, now);
}

void
WorkerLease::startAnswered(const RunKey& key,
                           const OrderAnswer& answer,
                           TimePoint now)
{
  if (answer != OrderFailure::Unanswered)
    m_unansweredStarts.remove(key);
  const auto found = m_runs.find(key);
  if (found == m_runs.end())
    return;
  Run& run = found->second;
  if (answer == OrderFailure::Unanswered)
    m_times->unanswered(now);
  else if (answer != OrderFailure::NotSent)
    m_times->answered(now - run.since);
  if (!answer) {
    if (run.state == RunState::Starting)
      run.state = RunState::Running;
    if (!run.confirmedAt)
      run.confirmedAt = now;
    run.spec.clear();
    return;
  }
  if (*answer != OrderFailure::Unanswered) {
    startRefused(found, *answer, now);
    return;
  }
  if (run.state != RunState::Starting)
    return;
  if (canResend(key)) {
    run.isResendDue = true;
    refresh(now);
  } else {
    stop(key, now);
  }
}

bool
WorkerLease::canResend(const RunKey& key) const
{
  return m_life.isBirthKnown() && m_state == LeaseState::Held &&
         !m_record.isDraining() && m_hooks.mayResend(key);
}

/// Sends starts without an answer again, right after a prompt report as
/// `isSafeToStart` asks for.
void
WorkerLease::resendStarts(TimePoint now)
{
  if (!isReportFresh(now))
    return;
  for (auto& [key, run] : m_runs) {
    if (!run.isResendDue || run.state != RunState::Starting)
      continue;
    if (canResend(key))
      sendStart(key, run, now);
    else
      stop(key, now);
  }
}

void
WorkerLease::startRefused(Runs::iterator found,
                          OrderFailure failure,
                          TimePoint now)
{
  Run& run = found->second;
  // An order of before the last claim is refused because of that claim.
  const bool isRefusalOfThisToken = run.token == m_token;
  const bool isFenced = failure == OrderFailure::Fenced;
  if (run.startsSent > 1 && failure == OrderFailure::StaleRun) {
    // Another copy was carried out; a report shows what became of it.
    run.isStale = true;
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    run.stopAnsweredAt = now;
    refresh(now);
  } else if (run.startsSent > 1 && !isFenced) {
    stop(found->first, now);
  } else if (!run.isStray) {
    // A run that the worker reports has begun by another order.
    rejectRun(found, failure);
  }
  if (isFenced && isRefusalOfThisToken)
    setState(LeaseState::Fenced);
}

void
WorkerLease::stopAnswered(const RunKey& key,
                          const OrderAnswer& answer,
                          TimePoint now)
{
  const auto found = m_runs.find(key);
  if (found == m_runs.end())
    return;
  Run& run = found->second;
  // What failed is sent again by a later tick.
  if (answer) {
    m_hooks.stopFailed({ key,
                         *answer,
                         run.stopsSent,
                         now - run.firstStopAt,
                         now - run.stopSentAt.value_or(now) });
    return;
  }
  run.stopAnsweredAt = now;
  // Tells at once whether the run is over, so that its task can start
  // elsewhere.
  refresh(now);
}

void
WorkerLease::refresh(TimePoint now)
{
  if (m_state == LeaseState::Held && m_holdsUnderWay <= 1)
    sendHold(Duration::zero(), now);
}

void
WorkerLease::tick(TimePoint now)
{
  if (m_state == LeaseState::Fenced || m_state == LeaseState::Restarted ||
      m_state == LeaseState::Ended)
    return;
  m_unansweredStarts.expire(now);
  if (m_state == LeaseState::Silent && !m_runs.empty() && now >= lapsedBy())
    lapse(now);
  tickRuns(now);
  if (m_holdsUnderWay == 0 && now >= m_nextHoldAt) {
    sendHold(Duration::zero(), now);
  } else if (mayOverfillNextLife()) {
    // A report that waits for an end gets no answer if the worker restarts, and
    // would delay the claim that fences late starts.
    refresh(now);
  }
}

bool
WorkerLease::canStart(const Resources& resources) const
{
  return m_state == LeaseState::Held && m_unanswered == 0 && m_strays == 0 &&
         !m_record.isDraining() && resources.fitsIn(freeRoom());
}

bool
WorkerLease::isSafeToStart(const Resources& resources, TimePoint now) const
{
  const bool isLeaseShort =
    !m_runs.empty() && m_wantedUntil < now + m_settings.shortestLease;
  const bool isRoomKept =
    !mayHaveUnknownStarts(now) &&
    (m_unansweredStarts.isEmpty() || resources.fitsIn(freeRoomInNextLife()));
  return !isLeaseShort && (isRoomKept || isReportFresh(now));
}

/// Whether starts that an earlier holder sent may reach a later life of the
/// worker, which takes a worker that keeps its id when it restarts.
bool
WorkerLease::mayHaveUnknownStarts(TimePoint now) const
{
  return m_life.isBirthKnown() && now < m_unknownStartsUntil;
}

bool
WorkerLease::isReportFresh(TimePoint now) const
{
  return now - m_reportAt <= m_settings.freshReportLimit &&
         m_reportAt - m_reportAskedAt <= m_times->answerWait();
}

/// The least free room of a worker after an undetected restart. Its new life
/// has none of the listed runs, but may carry out any unanswered start, and may
/// have been the one that answered the starts not listed yet.
Resources
WorkerLease::freeRoomInNextLife() const
{
  Resources used = m_unansweredStarts.total();
  for (const auto& [key, run] : m_runs) {
    if (!run.isListed && !m_unansweredStarts.contains(key))
      used = used + run.resources;
  }
  return m_record.capacity() - used;
}

/// Whether all starts that a next life may carry out exceed its capacity.
bool
WorkerLease::mayOverfillNextLife() const
{
  return !m_unansweredStarts.isEmpty() &&
         !Resources().fitsIn(freeRoomInNextLife());
}

Resources
WorkerLease::freeRoom() const
{
  if (m_state != LeaseState::Held || m_strays > 0)
    return {};
  return m_record.capacity() - m_used;
}

bool
WorkerLease::isRunning(const std::string& task) const
{
  const auto found = m_runs.lower_bound(RunKey(task, 0));
  return found != m_runs.end() && found->first.task() == task;
}

TimePoint
WorkerLease::lapsedBy() const
{
  const auto clockError = std::chrono::duration_cast<Duration>(
    m_settings.leaseTime * (m_settings.slowestClock - 1));
  return std::max(m_leasedUntil + clockError + m_settings.lapseMargin,
                  m_earlierOrdersUntil);
}

void
WorkerLease::setState(LeaseState state)
{
  if (m_state == state)
    return;
  m_state = state;
  m_hooks.stateChanged(state);
}

void
WorkerLease::sendHold(Duration wait, TimePoint now)
{
  HoldOrder order;
  order.token = m_token;
  order.acknowledged = m_acknowledged;
  order.wait = wait;
  // A claim leaves the leases as they are: nobody may want these runs.
  if (m_state == LeaseState::Held && !m_runs.empty()) {
    const TimePoint end = leaseEnd(now);
    if (end > now)
      order.deadlineMs = deadline(end);
  }
  ++m_holdsUnderWay;
  m_hooks.sendHold(order, wait + m_times->answerWait());
  if (order.deadlineMs)
    tellUnwanted(now);
}

void
WorkerLease::sendStop(const RunKey& key, Run& run, TimePoint now)
{
  run.stopSentAt = now;
  if (run.stopsSent++ == 0)
    run.firstStopAt = now;
  m_hooks.sendStop({ m_token, key }, m_times->answerWait());
}

void
WorkerLease::holdFailed(OrderFailure failure, TimePoint now)
{
  if (failure == OrderFailure::Fenced) {
    setState(LeaseState::Fenced);
    return;
  }
  if (failure == OrderFailure::OtherLife) {
    setState(LeaseState::Ended);
    endAllLost();
    return;
  }
  if (failure == OrderFailure::Unanswered)
    m_times->unanswered(now);
  if (m_holdsUnderWay > 0)
    return;
  ++m_unanswered;
  m_nextHoldAt = now;
  if (failure == OrderFailure::NotSent)
    m_nextHoldAt = now + m_settings.unsentRetry;
  if (m_unanswered >= m_settings.silentAfter) {
    m_nextHoldAt = now + m_settings.silentRetry;
    const bool hasStartedAgain = now < m_earlierOrdersUntil;
    if (m_state == LeaseState::Held ||
        (m_state == LeaseState::Claiming && hasStartedAgain))
      setState(LeaseState::Silent);
  }
}

void
WorkerLease::applyReport(const HoldReport& report,
                         TimePoint sent,
                         TimePoint now)
{
  const WorkerLife life = m_life.seenInAnswer(report.birth, sent, now);
  if (life == WorkerLife::Next) {
    beginNextLife(now);
    return;
  }
  m_unanswered = 0;
  if (life == WorkerLife::Earlier || isOutdated(report, sent)) {
    goOn(now);
    return;
  }
  if (m_state == LeaseState::Restarted)
    return;
  m_reportClockMs = report.clockMs;
  m_reportAt = now;
  m_clockOffsetMs = report.clockMs - toMilliseconds(now.time_since_epoch());
  m_reportAskedAt = std::max(m_reportAskedAt, sent);
  applyEnds(report);
  applyActive(report, now);
  dropMissing(report, sent);
  if (m_state != LeaseState::Held)
    noteClaimAnswered(now);
  setState(LeaseState::Held);
  resendStarts(now);
  goOn(now);
}

/// Orders to an earlier life do nothing from now on; what they may have done
/// ends with the longest lease that the worker grants.
void
WorkerLease::noteClaimAnswered(TimePoint now)
{
  const auto lease = std::chrono::duration_cast<Duration>(
    m_settings.longestLease * m_settings.slowestClock);
  m_earlierOrdersUntil =
    std::min(m_earlierOrdersUntil, now + lease + m_settings.lapseMargin);
  // The holder before may have renewed the lease just now.
  m_leasedUntil = std::max(m_leasedUntil, now + m_settings.leaseTime);
}

/// All that was seen in the earlier life is over, and its clock and its count
/// of ends mean nothing any more. Other runs stay in the book: the new life
/// carries a start out that arrives before the next claim does.
void
WorkerLease::beginNextLife(TimePoint now)
{
  m_acknowledged = 0;
  m_unanswered = 0;
  m_clockOffsetMs.reset();
  m_reportClockMs = 0;
  m_reportAt = {};
  m_earlierOrdersUntil = now + m_settings.lateOrderLimit;
  std::vector<RunKey> over;
  for (auto& [key, run] : m_runs) {
    if (run.isListed)
      over.push_back(key);
    run.isOfEarlierLife = true;
    run.startDeadlineMs = 0;
    run.stopAnsweredAt.reset();
  }
  setState(LeaseState::Restarted);
  for (const RunKey& key : over)
    endMissing(m_runs.find(key), RunEnd::Lost);
}

/// Answers to two reports may overtake each other: an older one tells of runs
/// whose end is known by now.
bool
WorkerLease::isOutdated(const HoldReport& report, TimePoint sent) const
{
  return report.clockMs < m_reportClockMs ||
         (report.clockMs == m_reportClockMs && sent < m_reportAt);
}

/// Asks for the next report unless one is under way.
void
WorkerLease::goOn(TimePoint now)
{
  m_nextHoldAt = now;
  if (m_holdsUnderWay == 0)
    sendHold(m_times->reportWait(now), now);
}

void
WorkerLease::applyEnds(const HoldReport& report)
{
  for (const EndedRun& ended : report.ended) {
    m_unansweredStarts.noteRun(ended.key);
    if (ended.number <= m_acknowledged)
      continue;
    m_acknowledged = ended.number;
    const auto found = m_runs.find(ended.key);
    if (found != m_runs.end())
      endRun(found, ended.end);
    else
      m_hooks.strayEnded(ended.key, ended.end);
  }
}

void
WorkerLease::applyActive(const HoldReport& report, TimePoint now)
{
  for (const ActiveRun& active : report.active) {
    m_unansweredStarts.noteRun(active.key);
    const auto [found, isNew] = m_runs.try_emplace(active.key);
    Run& run = found->second;
    if (isNew) {
      run.isStray = true;
      run.since = now;
      ++m_strays;
    }
    if (!run.confirmedAt)
      run.confirmedAt = now;
    run.isListed = true;
    run.isOfEarlierLife = false;
    if (run.state == RunState::Starting)
      run.state = RunState::Running;
    if (isNew)
      m_hooks.strayFound(active.key);
    else if (!run.isStray)
      m_hooks.runActive(active.key, active.percent);
  }
}

/// Ends the runs of the book that the worker doesn't have and that can't begin
/// there any more.
void
WorkerLease::dropMissing(const HoldReport& report, TimePoint sent)
{
  std::set<RunKey> present;
  for (const ActiveRun& active : report.active)
    present.insert(active.key);
  std::vector<RunKey> over;
  for (const auto& [key, run] : m_runs) {
    if (present.count(key) == 0 && isOver(run, report.clockMs, sent))
      over.push_back(key);
  }
  for (const RunKey& key : over)
    endMissing(m_runs.find(key), RunEnd::Lost);
}

bool
WorkerLease::isOver(const Run& run, std::int64_t clockMs, TimePoint sent) const
{
  // The new life has been claimed with a higher token, so that a start of
  // before does nothing from then on.
  if (run.isOfEarlierLife)
    return true;
  if (run.confirmedAt && *run.confirmedAt <= sent)
    return true;
  if (run.stopAnsweredAt && *run.stopAnsweredAt <= sent)
    return true;
  // A start is ignored from its deadline on. The margin covers a start that
  // was carried out at that moment and isn't in this report.
  const std::int64_t margin = toMilliseconds(m_settings.lapseMargin);
  return run.startDeadlineMs > 0 && clockMs > run.startDeadlineMs + margin;
}

void
WorkerLease::endRun(Runs::iterator found, RunEnd end)
{
  const RunKey key = found->first;
  const bool isStray = found->second.isStray;
  m_used = m_used - found->second.resources;
  m_runs.erase(found);
  if (isStray) {
    --m_strays;
    m_hooks.strayEnded(key, end);
  } else {
    m_hooks.runEnded(key, end);
  }
}

/// Ends a run whose end the worker hasn't listed, or reports its start as
/// unresolved if a later life may still carry it out.
void
WorkerLease::endMissing(Runs::iterator found, RunEnd end)
{
  const RunKey key = found->first;
  if (found->second.isStale) {
    rejectRun(found, OrderFailure::StaleRun);
    return;
  }
  const auto until = m_unansweredStarts.expiry(key);
  if (!until) {
    endRun(found, end);
    return;
  }
  m_used = m_used - found->second.resources;
  m_runs.erase(found);
  m_hooks.startUnresolved(key, *until);
}

void
WorkerLease::rejectRun(Runs::iterator found, OrderFailure failure)
{
  const RunKey key = found->first;
  m_used = m_used - found->second.resources;
  m_runs.erase(found);
  m_hooks.startRejected(key, failure);
}

void
WorkerLease::endAllLost()
{
  while (!m_runs.empty())
    endRun(m_runs.begin(), RunEnd::Lost);
}

void
WorkerLease::lapse(TimePoint now)
{
  LeaseLapsed note{ {}, Duration::zero(), now - lapsedBy() };
  if (m_reportAt != TimePoint())
    note.sinceReport = now - m_reportAt;
  for (const auto& [key, run] : m_runs)
    note.runs.push_back(key);
  m_hooks.lapsed(note);
  while (!m_runs.empty())
    endMissing(m_runs.begin(), RunEnd::Lapsed);
}

/// Tells once for each run that is to end and that a renewal lets go on. A
/// renewal beside the first stop is usual; what a worker has stopped doesn't go
/// on.
void
WorkerLease::tellUnwanted(TimePoint now)
{
  for (auto& [key, run] : m_runs) {
    const bool isStopLate = run.stopsSent > 1;
    if (run.isRenewalTold || run.stopAnsweredAt ||
        (!isStopLate && !run.isStray))
      continue;
    run.isRenewalTold = true;
    const TimePoint since = isStopLate ? run.firstStopAt : run.since;
    m_hooks.unwantedRenewal({ key, run.isStray, now - since });
  }
}

void
WorkerLease::tickRuns(TimePoint now)
{
  for (auto& [key, run] : m_runs) {
    if (run.isStray && run.state != RunState::Stopping &&
        now - run.since >= m_settings.strayLimit) {
      run.state = RunState::Stopping;
      m_hooks.strayStopped({ key, now - run.since });
      sendStop(key, run, now);
    }
    if (run.state == RunState::Stopping && !run.stopAnsweredAt &&
        now - *run.stopSentAt >= m_times->answerWait())
      sendStop(key, run, now);
  }
}

/// The worker has one lease for all its runs, so it may last no longer than
/// each of them is wanted.
TimePoint
WorkerLease::leaseEnd(TimePoint now)
{
  m_wantedUntil = TimePoint::max();
  for (auto& [key, run] : m_runs) {
    const auto wanted = run.isStray ? std::nullopt : m_hooks.wantedUntil(key);
    run.wantedUntil = std::max(run.wantedUntil, wanted.value_or(TimePoint{}));
    m_wantedUntil = std::min(m_wantedUntil, run.wantedUntil);
  }
  return std::min(now + m_settings.leaseTime, m_wantedUntil);
}

std::int64_t
WorkerLease::deadline(TimePoint leaseEnd)
{
  m_leasedUntil = std::max(m_leasedUntil, leaseEnd);
  return toMilliseconds(leaseEnd.time_since_epoch()) +
         m_clockOffsetMs.value_or(0);
}

} // namespace cowslippin
