#include "claimservice.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr unsigned appendBurst = 4;
constexpr std::size_t mostForeignBytes = std::size_t{ 1 } << 20;
constexpr Duration idleWake = std::chrono::seconds(1);
constexpr Duration pauseAfterFailure = std::chrono::milliseconds(100);
constexpr Duration outageRetry = std::chrono::seconds(1);

AppendEnd
endOf(const AppendResult& result)
{
  if (std::holds_alternative<Appended>(result)) {
    return AppendEnd::Appended;
  }
  if (std::holds_alternative<NotAppended>(result)) {
    return AppendEnd::NotAppended;
  }
  return AppendEnd::Unknown;
}

Problem
platformUnavailable()
{
  return Problem(ProblemKind::PlatformUnavailable,
                 RunState::NotRun,
                 "The log cannot be reached, so the key cannot be claimed")
    .withRetryAfter(outageRetry);
}

} // namespace

ClaimService::ClaimService(Settings settings,
                           Events events,
                           HandOver handOver,
                           Metrics& metrics)
  : m_settings(std::move(settings))
  , m_events(std::move(events))
  , m_handOver(std::move(handOver))
  , m_appends(metrics.counter("claimAppends"))
  , m_claimed(metrics.counter("claimsAppended"))
  , m_handedOver(metrics.counter("claimBatchesHandedOver"))
  , m_appendTime(metrics.latency("claimAppend"))
  , m_table(m_settings.self, m_settings.limits)
  , m_ownBudget(m_settings.appendsPerSecond, appendBurst, steadyNow())
  , m_regionBudget(m_settings.regionAppendsPerSecond, appendBurst, steadyNow())
  , m_client(m_settings.log.platform, m_settings.log.identity)
  , m_follower(m_settings.log.followerSettings(), makeHooks())
{
}

ClaimService::~ClaimService()
{
  stop();
}

void
ClaimService::start()
{
  m_follower.start();
  m_appender = std::thread([this] { runAppender(); });
}

void
ClaimService::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_wake.notify_all();
  }
  m_client.cancel();
  m_follower.stop();
  if (m_appender.joinable()) {
    m_appender.join();
  }
}

ClaimDecision
ClaimService::submit(const SubmissionKey& key)
{
  const std::lock_guard lock(m_mutex);
  if (m_unavailable && !m_table.owner(key)) {
    return ClaimRefused{ platformUnavailable() };
  }
  return queued(m_table.submit(key, steadyNow()));
}

ClaimDecision
ClaimService::ownerDeclined(const SubmissionKey& key,
                            const Incarnation& owner,
                            Offset claim)
{
  const std::lock_guard lock(m_mutex);
  if (m_unavailable) {
    return ClaimRefused{ platformUnavailable() };
  }
  return queued(m_table.ownerDeclined(key, owner, claim, steadyNow()));
}

StartPermit
ClaimService::startWork(const SubmissionKey& key)
{
  const std::lock_guard lock(m_mutex);
  return m_table.start(key, steadyNow());
}

bool
ClaimService::giveUp(const SubmissionKey& key)
{
  const std::lock_guard lock(m_mutex);
  return m_table.giveUp(key);
}

AskReply
ClaimService::ask(const SubmissionKey& key, Offset claim) const
{
  const std::lock_guard lock(m_mutex);
  return m_table.ask(key, claim);
}

std::optional<OwnedElsewhere>
ClaimService::owner(const SubmissionKey& key) const
{
  const std::lock_guard lock(m_mutex);
  return m_table.owner(key);
}

std::optional<OwnedElsewhere>
ClaimService::awaitOwner(const SubmissionKey& key, TimePoint until)
{
  std::unique_lock lock(m_mutex);
  m_wake.wait_until(
    lock, until, [&] { return m_stopping || m_table.owner(key).has_value(); });
  return m_table.owner(key);
}

bool
ClaimService::isOwner(const SubmissionKey& key) const
{
  const auto known = owner(key);
  return known && known->owner == m_settings.self;
}

bool
ClaimService::isCaughtUp() const
{
  const std::lock_guard lock(m_mutex);
  return m_table.isCaughtUp();
}

ClaimTableStats
ClaimService::stats() const
{
  const std::lock_guard lock(m_mutex);
  return m_table.stats(steadyNow());
}

LogFollower::Hooks
ClaimService::makeHooks()
{
  LogFollower::Hooks hooks;
  hooks.records = [this](const LogPage& page) { recordsRead(page); };
  hooks.caughtUp = [this](Offset /*end*/) {
    const std::lock_guard lock(m_mutex);
    m_table.caughtUp(steadyNow());
  };
  hooks.gap = [this](Offset first) {
    std::vector<ClaimEvent> events;
    {
      const std::lock_guard lock(m_mutex);
      events = m_table.skippedTo(first, steadyNow());
    }
    logEvent(LogLevel::Warning, "claim-stream-gap", { { "first", first } });
    tell(events);
  };
  hooks.unavailable = [this](const Problem& problem) {
    m_unavailable = true;
    logEvent(LogLevel::Warning,
             "claim-stream-unavailable",
             { { "detail", problem.detail() } });
  };
  hooks.recovered = [this] {
    m_unavailable = false;
    logEvent(LogLevel::Info, "claim-stream-recovered");
  };
  return hooks;
}

void
ClaimService::recordsRead(const LogPage& page)
{
  std::vector<ClaimEvent> events;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = steadyNow();
    for (const LogRecord& record : page.records()) {
      auto some = m_table.recordRead(record.offset(), record.body(), now);
      std::move(some.begin(), some.end(), std::back_inserter(events));
    }
    m_wake.notify_all();
  }
  tell(events);
}

void
ClaimService::runAppender()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    if (!waitForWork(lock)) {
      continue;
    }
    if (mayHandOver(steadyNow())) {
      handOverGroup(lock);
    } else if (budget().take(steadyNow())) {
      commitGroup(lock);
    } else {
      m_wake.wait_for(lock, budget().wait(steadyNow()));
    }
  }
}

bool
ClaimService::waitForWork(std::unique_lock<std::mutex>& lock)
{
  const TimePoint now = steadyNow();
  const std::vector<ClaimEvent> expired = m_table.expire(now);
  if (!expired.empty()) {
    lock.unlock();
    tell(expired);
    lock.lock();
    return false;
  }
  const ClaimTableStats stats = m_table.stats(now);
  const bool hasOwn = stats.queued != 0 && !stats.inDoubt;
  if (hasOwn || !m_foreign.empty()) {
    return true;
  }
  m_wake.wait_for(lock, idleWake);
  return false;
}

bool
ClaimService::mayHandOver(TimePoint now) const
{
  return !m_hasRegionDuty && m_foreign.empty() && now >= m_handOverFrom;
}

void
ClaimService::handOverGroup(std::unique_lock<std::mutex>& lock)
{
  const auto batch = m_table.takeBatch(steadyNow());
  if (!batch) {
    return;
  }
  lock.unlock();
  const bool isSent = m_handOver(encode(*batch));
  lock.lock();
  if (isSent) {
    m_handedOver.add();
    awaitReadBack(*batch, lock);
  } else {
    m_table.appendEnded(
      batch->batchNumber(), AppendEnd::NotAppended, steadyNow());
    m_handOverFrom = steadyNow() + m_settings.handOverPause;
  }
}

void
ClaimService::awaitReadBack(const ClaimBatch& batch,
                            std::unique_lock<std::mutex>& lock)
{
  const TimePoint until = steadyNow() + m_settings.handOverPatience;
  const bool isBack = m_wake.wait_until(
    lock, until, [this] { return m_stopping || !m_table.isInFlight(); });
  if (isBack) {
    return;
  }
  m_table.appendEnded(batch.batchNumber(), AppendEnd::Unknown, steadyNow());
  m_handOverFrom = steadyNow() + m_settings.handOverPause;
  logEvent(LogLevel::Warning,
           "claim-hand-over-failed",
           { { "batch", batch.batchNumber() } });
}

void
ClaimService::commitGroup(std::unique_lock<std::mutex>& lock)
{
  const auto own = m_table.takeBatch(steadyNow());
  std::string record = takeRecord(own);
  if (record.empty()) {
    return;
  }
  lock.unlock();
  const TimePoint begin = steadyNow();
  const AppendEnd end = endOf(
    m_client.append(m_settings.log.stream, record, m_settings.appendTimeout));
  m_appendTime.record(steadyNow() - begin);
  m_appends.add();
  lock.lock();
  if (own) {
    m_claimed.add(own->entries().size());
    m_table.appendEnded(own->batchNumber(), end, steadyNow());
  }
  if (end != AppendEnd::Appended) {
    logEvent(LogLevel::Warning,
             "claim-append-not-acknowledged",
             { { "bytes", record.size() },
               { "surelyNotAppended", end == AppendEnd::NotAppended } });
    m_wake.wait_for(lock, pauseAfterFailure);
  }
}

std::string
ClaimService::takeRecord(const std::optional<ClaimBatch>& own)
{
  std::string record;
  if (own) {
    record += encode(*own) + '\n';
  }
  for (const std::string& batch : m_foreign) {
    record += batch + '\n';
  }
  m_foreign.clear();
  m_foreignBytes = 0;
  return record;
}

AppendBudget&
ClaimService::budget()
{
  return m_hasRegionDuty ? m_regionBudget : m_ownBudget;
}

void
ClaimService::appendFor(const std::string& batch)
{
  const std::lock_guard lock(m_mutex);
  // A batch that finds no room is appended by its sender after a while.
  if (m_foreignBytes + batch.size() > mostForeignBytes) {
    return;
  }
  m_foreignBytes += batch.size();
  m_foreign.push_back(batch);
  m_wake.notify_all();
}

void
ClaimService::setRegionDuty(bool hasDuty)
{
  const std::lock_guard lock(m_mutex);
  m_hasRegionDuty = hasDuty;
}

void
ClaimService::tell(const std::vector<ClaimEvent>& events)
{
  if (!events.empty()) {
    m_events(events);
  }
}

ClaimDecision
ClaimService::queued(ClaimDecision decision)
{
  if (std::holds_alternative<ClaimQueued>(decision)) {
    m_wake.notify_all();
  }
  return decision;
}

} // namespace cowslippin
