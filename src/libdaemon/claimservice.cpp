#include "claimservice.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr unsigned appendBurst = 4;
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
                 "The log cannot be reached, so the key cannot be claimed; "
                 "a submission under a ticket could be taken")
    .withRetryAfter(outageRetry);
}

} // namespace

ClaimService::ClaimService(Settings settings, Events events, Metrics& metrics)
  : m_settings(std::move(settings))
  , m_events(std::move(events))
  , m_appends(metrics.counter("claimAppends"))
  , m_claimed(metrics.counter("claimsAppended"))
  , m_appendTime(metrics.latency("claimAppend"))
  , m_table(m_settings.self, m_settings.limits)
  , m_budget(m_settings.appendsPerSecond, appendBurst, steadyNow())
  , m_client(m_settings.platform, m_settings.identity)
  , m_follower(
      [this] {
        LogFollower::Settings follower;
        follower.platform = m_settings.platform;
        follower.identity = m_settings.identity;
        follower.stream = m_settings.stream;
        return follower;
      }(),
      makeHooks())
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
  }
  tell(events);
}

void
ClaimService::runAppender()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const auto batch = nextBatch(lock);
    if (!batch) {
      continue;
    }
    lock.unlock();
    append(*batch);
    lock.lock();
  }
}

std::optional<ClaimBatch>
ClaimService::nextBatch(std::unique_lock<std::mutex>& lock)
{
  const TimePoint now = steadyNow();
  const std::vector<ClaimEvent> expired = m_table.expire(now);
  if (!expired.empty()) {
    lock.unlock();
    tell(expired);
    lock.lock();
    return std::nullopt;
  }
  const bool hasWork = m_table.stats(now).queued != 0;
  if (!hasWork) {
    m_wake.wait_for(lock, idleWake);
    return std::nullopt;
  }
  if (!m_budget.take(now)) {
    m_wake.wait_for(lock, m_budget.wait(now));
    return std::nullopt;
  }
  auto batch = m_table.takeBatch(now);
  if (!batch) {
    m_wake.wait_for(lock, pauseAfterFailure);
  }
  return batch;
}

void
ClaimService::append(const ClaimBatch& batch)
{
  const TimePoint begin = steadyNow();
  const AppendResult result =
    m_client.append(m_settings.stream, encode(batch), m_settings.appendTimeout);
  const AppendEnd end = endOf(result);
  m_appendTime.record(steadyNow() - begin);
  m_appends.add();
  m_claimed.add(batch.entries().size());
  std::unique_lock lock(m_mutex);
  m_table.appendEnded(batch.batchNumber(), end, steadyNow());
  if (end != AppendEnd::Appended) {
    logEvent(LogLevel::Warning,
             "claim-append-not-acknowledged",
             { { "batch", batch.batchNumber() },
               { "surelyNotAppended", end == AppendEnd::NotAppended } });
    m_wake.wait_for(lock, pauseAfterFailure);
  }
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
