#include "workerlease.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cowslippin {

namespace {

bool
isFromOtherIncarnation(const LeaseOrderAnswer& answer)
{
  const auto* failure = std::get_if<OrderFailure>(&answer);
  return failure != nullptr && *failure == OrderFailure::OtherIncarnation;
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
                         std::shared_ptr<OrderTimeouts> times,
                         TimePoint now)
  : m_record(std::move(record))
  , m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_answerTimes(std::move(times))
  , m_incarnations(m_record.bootTime(), now)
{
}

void
WorkerLease::setRecord(const WorkerRecord& record, TimePoint now)
{
  const WorkerIncarnation incarnation =
    m_incarnations.observeListEntry(record.bootTime(), now);
  if (incarnation == WorkerIncarnation::Earlier)
    return;
  m_record = record;
  if (incarnation == WorkerIncarnation::Next)
    beginNextIncarnation(now);
}

void
WorkerLease::claim(FencingToken token, TimePoint now)
{
  // A worker that has only restarted has had no other holder since.
  if (m_state != LeaseState::Restarted)
    expectEarlierHoldersStarts(now);
  m_token = token;
  m_claimAnsweredAt.reset();
  m_isClaimComplete = false;
  m_unansweredReports = 0;
  m_reportRequestsInFlight = 0;
  setState(LeaseState::Claiming);
  m_nextReportRequestAt = now;
  sendLeaseOrder(Duration::zero(), now);
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
  m_usedCapacity = m_usedCapacity + resources;
  sendStart(key, m_runs.emplace(key, run).first->second, now);
}

/// Sends a start. A start that is sent only because a report has just arrived
/// is followed by a request for another report: if the worker has restarted in
/// between, its new incarnation is claimed, and late starts are fenced, one
/// round trip later.
void
WorkerLease::sendStart(const RunKey& key, Run& run, TimePoint now)
{
  run.token = m_token;
  run.since = now;
  run.startDeadlineMs = deadline(leaseEnd(now));
  ++run.startsSent;
  run.isResendDue = false;
  const StartOrder order{ m_token, key, run.spec, run.startDeadlineMs };
  if (m_incarnations.isBootTimeKnown())
    m_unansweredStarts.add(key, run.resources, now + m_settings.maxOrderDelay);
  m_hooks.sendStart(order, m_answerTimes->answerTimeout());
  if (mayOvercommitNextIncarnation())
    requestReport(now);
}

bool
WorkerLease::stop(const RunKey& key, TimePoint now)
{
  const auto found = m_runs.find(key);
  if (found == m_runs.end() || found->second.state == RunState::Stopping)
    return false;
  found->second.state = RunState::Stopping;
  sendStop(key, found->second, now);
  return true;
}

void
WorkerLease::stopStart(const RunKey& key, StopCause cause, TimePoint now)
{
  if (stop(key, now))
    m_hooks.startStopped(key, cause);
}

void
WorkerLease::fenceUnlistedStarts(const RunKey& key, TimePoint now)
{
  const auto [found, isNew] = m_runs.try_emplace(key);
  if (!isNew)
    return;
  Run& run = found->second;
  run.isOrphaned = true;
  ++m_orphanCount;
  run.since = now;
  run.state = RunState::Stopping;
  sendStop(key, run, now);
}

std::optional<RunKey>
WorkerLease::adoptOrphan(const std::string& task, const Resources& resources)
{
  for (auto& [key, run] : m_runs) {
    if (!run.isOrphaned || run.state == RunState::Stopping ||
        key.task() != task)
      continue;
    run.isOrphaned = false;
    run.resources = resources;
    m_usedCapacity = m_usedCapacity + resources;
    --m_orphanCount;
    return key;
  }
  return std::nullopt;
}

void
WorkerLease::leaseOrderAnswered(const SentLeaseOrder& sent,
                                const LeaseOrderAnswer& answer,
                                TimePoint now)
{
  if (sent.token != m_token && !isFromOtherIncarnation(answer))
    return;
  if (m_reportRequestsInFlight > 0)
    --m_reportRequestsInFlight;
  if (const auto* failure = std::get_if<OrderFailure>(&answer)) {
    reportRequestFailed(*failure, now);
    return;
  }
  applyReport(std::get<WorkerReport>(answer), sent.sentAt, now);
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
    m_answerTimes->addUnanswered(now);
  else if (answer != OrderFailure::NotSent)
    m_answerTimes->addAnswerTime(now - run.since);
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
    requestReport(now);
  } else {
    stopStart(key, StopCause::StartUnanswered, now);
  }
}

bool
WorkerLease::canResend(const RunKey& key) const
{
  return m_incarnations.isBootTimeKnown() && m_state == LeaseState::Held &&
         !m_record.isDraining() && m_hooks.mayResend(key);
}

/// Sends unanswered starts again, right after a promptly answered report, as
/// `isSafeToStart` requires.
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
      stopStart(key, StopCause::StartUnanswered, now);
  }
}

void
WorkerLease::startRefused(Runs::iterator found,
                          OrderFailure failure,
                          TimePoint now)
{
  Run& run = found->second;
  // An order sent before the last claim is refused because of that claim.
  const bool isSentWithCurrentToken = run.token == m_token;
  const bool isFenced = failure == OrderFailure::Fenced;
  if (run.startsSent > 1 && failure == OrderFailure::StaleRun) {
    // Another copy was carried out; a report shows what became of it.
    run.isStale = true;
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    run.stopAnsweredAt = now;
    requestReport(now);
  } else if (run.startsSent > 1 && !isFenced) {
    stopStart(found->first, StopCause::StartRefused, now);
  } else if (!run.isOrphaned) {
    // Another order started an orphaned run, so that this refusal doesn't
    // concern it.
    presumeOver(found->first, run, failure, now);
    rejectRun(found, failure);
  }
  if (isFenced && isSentWithCurrentToken)
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
  // A later tick sends a failed stop again.
  if (answer) {
    m_hooks.stopFailed({ key,
                         *answer,
                         run.stopsSent,
                         now - run.firstStopAt,
                         now - run.stopSentAt.value_or(now) });
    return;
  }
  run.stopAnsweredAt = now;
  // The report tells at once whether the run has ended, so that its task can
  // start elsewhere.
  requestReport(now);
}

void
WorkerLease::requestReport(TimePoint now)
{
  if (m_state == LeaseState::Held && m_reportRequestsInFlight <= 1)
    sendLeaseOrder(Duration::zero(), now);
}

void
WorkerLease::tick(TimePoint now)
{
  if (m_state == LeaseState::Fenced || m_state == LeaseState::Restarted ||
      m_state == LeaseState::Ended)
    return;
  m_unansweredStarts.expire(now);
  if (m_state == LeaseState::Silent && !m_runs.empty() && now >= runsExpireBy())
    expireLease(now);
  tickRuns(now);
  if (m_reportRequestsInFlight == 0 && now >= m_nextReportRequestAt) {
    sendLeaseOrder(Duration::zero(), now);
  } else if (mayOvercommitNextIncarnation()) {
    // A report request that waits for a run to end gets no answer if the worker
    // restarts, which would delay the claim that fences late starts.
    requestReport(now);
  }
}

bool
WorkerLease::canStart(const Resources& resources) const
{
  return m_state == LeaseState::Held && m_unansweredReports == 0 &&
         m_orphanCount == 0 && !m_record.isDraining() &&
         resources.fitsIn(freeCapacity());
}

bool
WorkerLease::isSafeToStart(const Resources& resources,
                           TimePoint now,
                           const SpreadLimit& limit) const
{
  const bool isLeaseShort =
    !m_runs.empty() && m_wantedUntil < now + m_settings.minLeaseToStart;
  const bool hasSpareCapacity =
    !mayHaveEarlierHoldersStarts(now) &&
    (m_unansweredStarts.isEmpty() ||
     (resources.fitsIn(freeCapacityInNextIncarnation()) &&
      !mayExceedInNextIncarnation(limit)));
  return !isLeaseShort && (hasSpareCapacity || isReportFresh(now));
}

/// Whether starts that an earlier holder sent may reach a later incarnation of
/// the worker. Only a worker that keeps its id when it restarts can receive
/// them.
bool
WorkerLease::mayHaveEarlierHoldersStarts(TimePoint now) const
{
  return m_incarnations.isBootTimeKnown() && now < m_earlierHoldersStartsUntil;
}

std::optional<TimePoint>
WorkerLease::lateStartsUntil() const
{
  if (m_state != LeaseState::Held)
    return std::nullopt;
  TimePoint until = m_earlierHoldersStartsUntil;
  for (const UnansweredStart& start : m_unansweredStarts.all())
    until = std::max(until, start.expiresAt);
  return until;
}

void
WorkerLease::limitEarlierHoldersStarts(FencingToken claimedWith,
                                       TimePoint until)
{
  if (m_token == claimedWith)
    m_earlierHoldersStartsUntil = std::min(m_earlierHoldersStartsUntil, until);
}

void
WorkerLease::expectEarlierHoldersStarts(TimePoint now)
{
  m_earlierHoldersStartsUntil = now + m_settings.maxOrderDelay;
}

bool
WorkerLease::isReportFresh(TimePoint now) const
{
  return now - m_reportAt <= m_settings.maxReportAge &&
         m_reportAt - m_reportAskedAt <= m_answerTimes->promptAnswerTime();
}

/// The least free capacity of the worker after an undetected restart. The new
/// incarnation has none of the listed runs, but it may carry out any unanswered
/// start, and it may be the one that answered the starts that no report has
/// listed yet.
Resources
WorkerLease::freeCapacityInNextIncarnation() const
{
  Resources used = m_unansweredStarts.total();
  for (const auto& [key, run] : m_runs) {
    if (!run.isListed && !m_unansweredStarts.contains(key))
      used = used + run.resources;
  }
  return m_record.capacity() - used;
}

/// Whether one more task of a step may be too many after an undetected restart,
/// see `freeCapacityInNextIncarnation`.
bool
WorkerLease::mayExceedInNextIncarnation(const SpreadLimit& limit) const
{
  if (limit.maxTasks == 0)
    return false;
  std::set<std::string> tasks;
  m_unansweredStarts.addTasks(limit.taskPrefix, tasks);
  visitTasks(m_runs, limit.taskPrefix, [&](const auto& run) {
    if (!run.second.isListed)
      tasks.insert(run.first.task());
  });
  tasks.erase(limit.task);
  return tasks.size() >= limit.maxTasks;
}

/// Whether all starts that the next incarnation may carry out exceed its
/// capacity.
bool
WorkerLease::mayOvercommitNextIncarnation() const
{
  return !m_unansweredStarts.isEmpty() &&
         !Resources().fitsIn(freeCapacityInNextIncarnation());
}

Resources
WorkerLease::freeCapacity() const
{
  if (m_state != LeaseState::Held || m_orphanCount > 0)
    return {};
  return m_record.capacity() - m_usedCapacity;
}

bool
WorkerLease::isRunning(const std::string& task) const
{
  const auto found = m_runs.lower_bound(RunKey(task, 0));
  return found != m_runs.end() && found->first.task() == task;
}

unsigned
WorkerLease::freeTasks(const SpreadLimit& limit) const
{
  if (limit.maxTasks == 0)
    return std::numeric_limits<unsigned>::max();
  std::set<std::string> tasks;
  visitTasks(m_runs, limit.taskPrefix, [&](const auto& run) {
    tasks.insert(run.first.task());
  });
  tasks.erase(limit.task);
  return tasks.size() < limit.maxTasks
           ? limit.maxTasks - static_cast<unsigned>(tasks.size())
           : 0;
}

TimePoint
WorkerLease::runsExpireBy() const
{
  const auto clockError = std::chrono::duration_cast<Duration>(
    m_settings.leaseDuration * (m_settings.maxClockDriftFactor - 1));
  return std::max(m_leasedUntil + clockError + m_settings.expiryMargin,
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
WorkerLease::sendLeaseOrder(Duration wait, TimePoint now)
{
  LeaseOrder order;
  order.token = m_token;
  order.acknowledgedEnd = m_acknowledged;
  order.maxWait = wait;
  // A claim renews no lease: nobody may want the runs that are on the worker.
  if (m_state == LeaseState::Held && !m_runs.empty()) {
    const TimePoint end = leaseEnd(now);
    if (end > now)
      order.deadlineMs = deadline(end);
  }
  ++m_reportRequestsInFlight;
  m_hooks.sendLeaseOrder(order, wait + m_answerTimes->answerTimeout());
  if (order.deadlineMs)
    reportUnwantedRenewals(now);
}

void
WorkerLease::sendStop(const RunKey& key, Run& run, TimePoint now)
{
  run.stopSentAt = now;
  if (run.stopsSent++ == 0)
    run.firstStopAt = now;
  m_hooks.sendStop({ m_token, key }, m_answerTimes->answerTimeout());
}

void
WorkerLease::reportRequestFailed(OrderFailure failure, TimePoint now)
{
  if (failure == OrderFailure::Fenced) {
    setState(LeaseState::Fenced);
    return;
  }
  if (failure == OrderFailure::OtherIncarnation) {
    setState(LeaseState::Ended);
    endAllAsLost(now);
    return;
  }
  if (failure == OrderFailure::Unanswered)
    m_answerTimes->addUnanswered(now);
  if (m_reportRequestsInFlight > 0)
    return;
  ++m_unansweredReports;
  m_nextReportRequestAt = now;
  if (failure == OrderFailure::NotSent)
    m_nextReportRequestAt = now + m_settings.unsentRetryDelay;
  if (m_unansweredReports >= m_settings.unansweredReportLimit) {
    m_nextReportRequestAt = now + m_settings.silentRetryDelay;
    const bool hasRestarted = now < m_earlierOrdersUntil;
    if (m_state == LeaseState::Held || (m_state == LeaseState::Claiming &&
                                        (hasRestarted || m_claimAnsweredAt)))
      setState(LeaseState::Silent);
  }
}

void
WorkerLease::applyReport(const WorkerReport& report,
                         TimePoint sent,
                         TimePoint now)
{
  const WorkerIncarnation incarnation =
    m_incarnations.observeAnswer(report.bootTime, sent, now);
  if (incarnation == WorkerIncarnation::Next) {
    beginNextIncarnation(now);
    return;
  }
  m_unansweredReports = 0;
  if (incarnation == WorkerIncarnation::Earlier || isOutdated(report, sent)) {
    requestNextReport(now);
    return;
  }
  if (m_state == LeaseState::Restarted)
    return;
  m_reportClockMs = report.clockMs;
  m_reportAt = now;
  m_clockOffsetMs = report.clockMs - toMilliseconds(now.time_since_epoch());
  m_reportAskedAt = std::max(m_reportAskedAt, sent);
  m_isClaimComplete = m_isClaimComplete || completesClaim(sent);
  applyEndedRuns(report);
  applyActiveRuns(report, now);
  endMissingRuns(report, sent, now);
  if (m_state != LeaseState::Held)
    boundEarlierOrders(now);
  if (m_isClaimComplete) {
    setState(LeaseState::Held);
    resendStarts(now);
  } else if (!m_claimAnsweredAt) {
    m_claimAnsweredAt = now;
  }
  requestNextReport(now);
}

/// Whether a report that was requested at `sent` completes the claim. It lists
/// all runs that the worker accepted before the claim, unless the worker takes
/// longer than a round trip to list them.
bool
WorkerLease::completesClaim(TimePoint sent) const
{
  return m_claimAnsweredAt && sent >= *m_claimAnsweredAt;
}

/// Bounds the time in which orders to an earlier incarnation may have effects:
/// once a claim is complete they do nothing, and runs that they may have
/// started end with the longest lease that the worker grants.
void
WorkerLease::boundEarlierOrders(TimePoint now)
{
  const auto lease = std::chrono::duration_cast<Duration>(
    m_settings.maxGrantedLease * m_settings.maxClockDriftFactor);
  if (m_isClaimComplete)
    m_earlierOrdersUntil =
      std::min(m_earlierOrdersUntil, now + lease + m_settings.expiryMargin);
  // The previous holder may have renewed the lease just now.
  m_leasedUntil = std::max(m_leasedUntil, now + m_settings.leaseDuration);
}

/// Ends all runs that the earlier incarnation has listed, and drops its clock
/// and its count of ends, which no longer mean anything. The lease keeps its
/// other runs: the new incarnation carries out a start that arrives before the
/// next claim does.
void
WorkerLease::beginNextIncarnation(TimePoint now)
{
  m_acknowledged = 0;
  m_unansweredReports = 0;
  m_clockOffsetMs.reset();
  m_reportClockMs = 0;
  m_reportAt = {};
  m_earlierOrdersUntil = now + m_settings.maxOrderDelay;
  std::vector<RunKey> gone;
  for (auto& [key, run] : m_runs) {
    if (run.isListed)
      gone.push_back(key);
    run.isOfEarlierIncarnation = true;
    run.startDeadlineMs = 0;
    run.stopAnsweredAt.reset();
  }
  setState(LeaseState::Restarted);
  for (const RunKey& key : gone) {
    const auto found = m_runs.find(key);
    presumeOver(key, found->second, UnlistedEnd::EarlierIncarnation, now);
    endMissingRun(found, RunEnd::Lost);
  }
}

/// Whether a newer report arrived before this one. Answers may overtake each
/// other, and the older report lists runs whose end is already known.
bool
WorkerLease::isOutdated(const WorkerReport& report, TimePoint sent) const
{
  return report.clockMs < m_reportClockMs ||
         (report.clockMs == m_reportClockMs && sent < m_reportAt);
}

/// Requests the next report unless a request is in flight.
void
WorkerLease::requestNextReport(TimePoint now)
{
  m_nextReportRequestAt = now;
  if (m_reportRequestsInFlight == 0)
    sendLeaseOrder(m_isClaimComplete ? m_answerTimes->reportWait(now)
                                     : Duration::zero(),
                   now);
}

void
WorkerLease::applyEndedRuns(const WorkerReport& report)
{
  for (const EndedRun& ended : report.ended) {
    m_unansweredStarts.runReported(ended.key);
    if (ended.sequence <= m_acknowledged)
      continue;
    m_acknowledged = ended.sequence;
    const auto found = m_runs.find(ended.key);
    if (found != m_runs.end())
      endRun(found, ended.end);
    else
      m_hooks.orphanEnded(ended.key, ended.end);
  }
}

void
WorkerLease::applyActiveRuns(const WorkerReport& report, TimePoint now)
{
  for (const ActiveRun& active : report.active) {
    m_unansweredStarts.runReported(active.key);
    const auto [found, isNew] = m_runs.try_emplace(active.key);
    Run& run = found->second;
    if (isNew) {
      run.isOrphaned = true;
      run.since = now;
      ++m_orphanCount;
    }
    if (!run.confirmedAt)
      run.confirmedAt = now;
    run.isListed = true;
    run.isOfEarlierIncarnation = false;
    if (run.state == RunState::Starting)
      run.state = RunState::Running;
    if (isNew)
      m_hooks.orphanFound(active.key);
    else if (!run.isOrphaned)
      m_hooks.runProgressed(active.key, active.percent);
  }
}

/// Ends the runs that the worker doesn't have and that can no longer begin
/// there.
void
WorkerLease::endMissingRuns(const WorkerReport& report,
                            TimePoint sent,
                            TimePoint now)
{
  std::set<RunKey> present;
  for (const ActiveRun& active : report.active)
    present.insert(active.key);
  std::vector<std::pair<RunKey, UnlistedEnd>> gone;
  for (const auto& [key, run] : m_runs) {
    if (present.count(key) > 0)
      continue;
    if (const auto cause = causeOfEnd(run, report.clockMs, sent))
      gone.emplace_back(key, *cause);
  }
  for (const auto& [key, cause] : gone) {
    const auto found = m_runs.find(key);
    const Run& run = found->second;
    DecidingReport deciding{ now - sent, std::nullopt };
    if (run.startDeadlineMs > 0)
      deciding.pastDeadlineMs = report.clockMs - run.startDeadlineMs;
    presumeOver(key, run, cause, now, deciding);
    endMissingRun(found, RunEnd::Lost);
  }
}

/// Returns why a run that a report doesn't list can no longer be in progress;
/// nothing if it still can.
std::optional<UnlistedEnd>
WorkerLease::causeOfEnd(const Run& run,
                        std::int64_t clockMs,
                        TimePoint sent) const
{
  // The new incarnation has been claimed with a higher token, so that it
  // ignores any start sent before.
  if (run.isOfEarlierIncarnation && m_isClaimComplete)
    return UnlistedEnd::EarlierIncarnation;
  if (run.confirmedAt && *run.confirmedAt <= sent)
    return UnlistedEnd::Missing;
  if (run.stopAnsweredAt && *run.stopAnsweredAt <= sent)
    return UnlistedEnd::MissingAfterStop;
  // The worker ignores a start from its deadline on. The margin covers a start
  // that was carried out at the deadline and isn't in this report.
  const std::int64_t margin = toMilliseconds(m_settings.expiryMargin);
  if (run.startDeadlineMs > 0 && clockMs > run.startDeadlineMs + margin)
    return UnlistedEnd::StartExpired;
  return std::nullopt;
}

void
WorkerLease::presumeOver(const RunKey& key,
                         const Run& run,
                         PresumedOverCause cause,
                         TimePoint now,
                         std::optional<DecidingReport> report) const
{
  RunPresumedOver note{ key,          cause,
                        now,          run.isOrphaned,
                        run.token,    now - run.since,
                        std::nullopt, std::nullopt,
                        report };
  if (run.confirmedAt)
    note.sinceConfirmed = now - *run.confirmedAt;
  if (run.stopAnsweredAt)
    note.sinceStopAnswered = now - *run.stopAnsweredAt;
  m_hooks.runPresumedOver(note);
}

void
WorkerLease::endRun(Runs::iterator found, RunEnd end)
{
  const RunKey key = found->first;
  const bool isOrphaned = found->second.isOrphaned;
  m_usedCapacity = m_usedCapacity - found->second.resources;
  m_runs.erase(found);
  if (isOrphaned) {
    --m_orphanCount;
    m_hooks.orphanEnded(key, end);
  } else {
    m_hooks.runEnded(key, end);
  }
}

/// Ends a run whose end the worker hasn't listed, or reports its start as
/// unresolved if a later incarnation may still carry it out.
void
WorkerLease::endMissingRun(Runs::iterator found, RunEnd end)
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
  m_usedCapacity = m_usedCapacity - found->second.resources;
  m_runs.erase(found);
  m_hooks.unresolvedStartFound(key, *until);
}

void
WorkerLease::rejectRun(Runs::iterator found, OrderFailure failure)
{
  const RunKey key = found->first;
  m_usedCapacity = m_usedCapacity - found->second.resources;
  m_runs.erase(found);
  m_hooks.startRejected(key, failure);
}

void
WorkerLease::endAllAsLost(TimePoint now)
{
  while (!m_runs.empty()) {
    const auto first = m_runs.begin();
    presumeOver(first->first, first->second, UnlistedEnd::WorkerReplaced, now);
    endRun(first, RunEnd::Lost);
  }
}

void
WorkerLease::expireLease(TimePoint now)
{
  LeaseExpired note{ {}, Duration::zero(), now - runsExpireBy() };
  if (m_reportAt != TimePoint())
    note.sinceLastReport = now - m_reportAt;
  for (const auto& [key, run] : m_runs)
    note.runs.push_back(key);
  m_hooks.expired(note);
  while (!m_runs.empty()) {
    const auto first = m_runs.begin();
    presumeOver(first->first, first->second, UnlistedEnd::LeaseExpired, now);
    endMissingRun(first, RunEnd::Expired);
  }
}

/// Reports, once per run, that a renewal extends a run that is to end. A
/// renewal at the same time as the first stop is usual and isn't reported; nor
/// is a run whose stop was answered, because it doesn't continue.
void
WorkerLease::reportUnwantedRenewals(TimePoint now)
{
  for (auto& [key, run] : m_runs) {
    const bool isStopLate = run.stopsSent > 1;
    if (run.isRenewalReported || run.stopAnsweredAt ||
        (!isStopLate && !run.isOrphaned))
      continue;
    run.isRenewalReported = true;
    const TimePoint since = isStopLate ? run.firstStopAt : run.since;
    m_hooks.endingRunRenewed({ key, run.isOrphaned, now - since });
  }
}

void
WorkerLease::tickRuns(TimePoint now)
{
  for (auto& [key, run] : m_runs) {
    if (run.isOrphaned && run.state != RunState::Stopping &&
        now - run.since >= m_settings.orphanTimeout) {
      run.state = RunState::Stopping;
      m_hooks.orphanStopped({ key, now - run.since });
      sendStop(key, run, now);
    }
    // The timeout includes the lag of the event loop: a stop whose answer is
    // waiting in the socket isn't sent again.
    if (run.state == RunState::Stopping && !run.stopAnsweredAt &&
        now - *run.stopSentAt >= m_answerTimes->answerTimeout())
      sendStop(key, run, now);
  }
}

/// Returns the end of the next lease. The worker has one lease for all its
/// runs, so the lease lasts no longer than the time for which each of them is
/// wanted.
TimePoint
WorkerLease::leaseEnd(TimePoint now)
{
  m_wantedUntil = TimePoint::max();
  for (auto& [key, run] : m_runs) {
    const auto wanted =
      run.isOrphaned ? std::nullopt : m_hooks.runWantedUntil(key);
    run.wantedUntil = std::max(run.wantedUntil, wanted.value_or(TimePoint{}));
    m_wantedUntil = std::min(m_wantedUntil, run.wantedUntil);
  }
  return std::min(now + m_settings.leaseDuration, m_wantedUntil);
}

std::int64_t
WorkerLease::deadline(TimePoint leaseEnd)
{
  m_leasedUntil = std::max(m_leasedUntil, leaseEnd);
  return toMilliseconds(leaseEnd.time_since_epoch()) +
         m_clockOffsetMs.value_or(0);
}

} // namespace cowslippin
